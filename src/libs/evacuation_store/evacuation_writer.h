// Writes to the store what an operator confirmed of evacuations. Runs on the
// control thread.
#ifndef EVACUATION_STORE_EVACUATION_WRITER_H_
#define EVACUATION_STORE_EVACUATION_WRITER_H_

#include <functional>
#include <string>

#include "base/result.h"
#include "evacuation_store/evacuation_change.h"
#include "evacuation_store/evacuation_format.h"
#include "store/store_client.h"

namespace chestnutport::evacuation_store {

struct EvacuationRequest {
  EvacuationChange change;
  std::string plan_id;
};

class EvacuationWriter {
 public:
  // What is evacuated now. Errors: kStalePlan if something else is evacuated
  // than when the plan was made; kNotFound if the platform's operators write
  // evacuations themselves; kStoreUnavailable if nothing was done;
  // kStoreOutcomeUnknown if the change may have taken effect.
  using Handler = std::function<void(const base::Result<DataCentres>&)>;

  // `store` must outlive the writer.
  EvacuationWriter(store::StoreClient& store, AnyEvacuationFormat format);

  // Repeating an order is harmless.
  void Execute(const EvacuationRequest& request, Handler handler);

 private:
  void Write(const EvacuationRequest& request,
             const store::StorePage& page,
             const Handler& handler);

  store::StoreClient& store_;
  AnyEvacuationFormat format_;
};

}  // namespace chestnutport::evacuation_store

#endif  // EVACUATION_STORE_EVACUATION_WRITER_H_
