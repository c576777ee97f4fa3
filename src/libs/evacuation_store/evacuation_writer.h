// Writes to the store what an operator confirmed of evacuations. Runs on the
// control thread.
#ifndef EVACUATION_STORE_EVACUATION_WRITER_H_
#define EVACUATION_STORE_EVACUATION_WRITER_H_

#include <functional>
#include <string>

#include "base/result.h"
#include "evacuation_store/evacuation_change.h"
#include "evacuation_store/evacuation_form.h"
#include "store/store_client.h"

namespace chestnutport::evacuation_store {

struct EvacuationOrder {
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
  EvacuationWriter(store::StoreClient& store, AnyEvacuationForm form);

  // Repeating an order is harmless.
  void Carry(const EvacuationOrder& order, Handler handler);

 private:
  void Write(const EvacuationOrder& order,
             const store::StorePage& page,
             const Handler& handler);

  store::StoreClient& store_;
  AnyEvacuationForm form_;
};

}  // namespace chestnutport::evacuation_store

#endif  // EVACUATION_STORE_EVACUATION_WRITER_H_
