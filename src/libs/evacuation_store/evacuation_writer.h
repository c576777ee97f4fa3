// Writes evacuations confirmed by operators to the store. Used on the control
// thread only.
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
  // Receives the data centres evacuated after the change. Errors: kStalePlan if
  // the evacuations have changed since the plan was made; kNotFound if
  // operators write evacuations to the store directly; kStoreUnavailable if
  // nothing was changed; kStoreOutcomeUnknown if the change may have taken
  // effect.
  using Handler = std::function<void(const base::Result<DataCentres>&)>;

  // `store` must outlive the writer.
  EvacuationWriter(store::StoreClient& store, AnyEvacuationFormat format);

  // Idempotent: a request may be repeated.
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
