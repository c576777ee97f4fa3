#include "evacuation_store/evacuation_writer.h"

#include <utility>

#include "evacuation_store/own_evacuation_form.h"

namespace chestnutport::evacuation_store {

using base::ErrorKind;
using base::make_error_code;

namespace {

constexpr store::LeaseId kNoLease = 0;
constexpr int64_t kNoEntry = 0;

}  // namespace

EvacuationWriter::EvacuationWriter(store::StoreClient& store,
                                   AnyEvacuationForm form)
    : store_(store), form_(std::move(form)) {}

void EvacuationWriter::Carry(const EvacuationOrder& order, Handler handler) {
  if (!form_.is_written) {
    handler(make_error_code(ErrorKind::kNotFound));
    return;
  }
  store_.ReadPage(form_.prefix,
                  [this, order, handler = std::move(handler)](
                      const base::Result<store::StorePage>& page) {
                    if (!page)
                      handler(page.error());
                    else
                      Write(order, page.value(), handler);
                  });
}

void EvacuationWriter::Write(const EvacuationOrder& order,
                             const store::StorePage& page,
                             const Handler& handler) {
  const auto now = form_.read(page.entries);
  if (!now) {
    handler(make_error_code(ErrorKind::kStoreUnavailable));
    return;
  }
  if (order.change.IsDone(*now)) {
    handler(*now);
    return;
  }
  if (order.change.PlanId(*now) != order.plan_id) {
    handler(make_error_code(ErrorKind::kStalePlan));
    return;
  }
  const DataCentres after = order.change.Apply(*now);
  const int64_t revision =
      page.entries.empty() ? kNoEntry : page.entries.front().revision;
  store_.CompareAndSwap(form_.prefix, revision, OwnEvacuationForm::Write(after),
                        kNoLease,
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
