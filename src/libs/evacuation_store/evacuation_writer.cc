#include "evacuation_store/evacuation_writer.h"

#include <utility>

#include "evacuation_store/native_evacuation_format.h"

namespace chestnutport::evacuation_store {

using base::ErrorKind;
using base::make_error_code;

namespace {

constexpr store::LeaseId kNoLease = 0;
constexpr int64_t kNoEntry = 0;

}  // namespace

EvacuationWriter::EvacuationWriter(store::StoreClient& store,
                                   AnyEvacuationFormat format)
    : store_(store), format_(std::move(format)) {}

void EvacuationWriter::Execute(const EvacuationRequest& request,
                               Handler handler) {
  if (!format_.is_written_by_nodes) {
    handler(make_error_code(ErrorKind::kNotFound));
    return;
  }
  store_.ReadPage(format_.prefix, store::Freshness::kLatest,
                  [this, request, handler = std::move(handler)](
                      const base::Result<store::StorePage>& page) {
                    if (!page)
                      handler(page.error());
                    else
                      Write(request, page.value(), handler);
                  });
}

void EvacuationWriter::Write(const EvacuationRequest& request,
                             const store::StorePage& page,
                             const Handler& handler) {
  const auto current = format_.read(page.entries);
  if (!current) {
    handler(make_error_code(ErrorKind::kStoreUnavailable));
    return;
  }
  if (request.change.IsInEffect(*current)) {
    handler(*current);
    return;
  }
  if (request.change.PlanId(*current) != request.plan_id) {
    handler(make_error_code(ErrorKind::kStalePlan));
    return;
  }
  const DataCentres after = request.change.Apply(*current);
  const int64_t revision =
      page.entries.empty() ? kNoEntry : page.entries.front().revision;
  store_.CompareAndSwap(format_.prefix, revision,
                        NativeEvacuationFormat::Write(after), kNoLease,
                        [after, handler](const base::Result<bool>& written) {
                          if (!written)
                            handler(written.error());
                          else if (!written.value())
                            handler(make_error_code(ErrorKind::kStalePlan));
                          else
                            handler(after);
                        });
}

}  // namespace chestnutport::evacuation_store
