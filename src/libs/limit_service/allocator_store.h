// Carries out the store calls of an AllocatorElection. Runs on the control
// thread.
#ifndef LIMIT_SERVICE_ALLOCATOR_STORE_H_
#define LIMIT_SERVICE_ALLOCATOR_STORE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "limits/allocator_election.h"
#include "net/event_loop.h"
#include "store/store_client.h"

namespace chestnutport::limit_service {

class AllocatorStore {
 public:
  using Handler = std::function<void(const limits::StoreOperationResult&)>;

  // A call without a response is reported as failed after this time, which is
  // shorter than the store client's: a lease of 4 s leaves room for several
  // renewals even if the store loses every second response.
  static constexpr std::chrono::milliseconds kTimeout{500};

  // `loop` and `store` must outlive this object. `key` is that of the entry.
  AllocatorStore(net::EventLoop& loop,
                 store::StoreClient& store,
                 std::string key);
  ~AllocatorStore();
  AllocatorStore(const AllocatorStore&) = delete;
  AllocatorStore& operator=(const AllocatorStore&) = delete;

  // Calls `handler` once, within kTimeout.
  void Execute(const limits::StoreOperation& operation, Handler handler);

 private:
  struct Call {
    limits::StoreOperationResult result;
    Handler handler;
    net::EventLoop::TimerId timer = 0;
  };

  void Read(uint64_t call);
  void Grant(uint64_t call, std::chrono::nanoseconds lease_time);
  void Write(uint64_t call, const limits::StoreOperation& operation);
  void KeepAlive(uint64_t call, limits::StoreLease lease);
  void EndLease(uint64_t call, limits::StoreLease lease);
  void OnRead(uint64_t call, const std::vector<store::StoreEntry>& entries);
  // Reports kDone, or kConflict if `is_applied` is false.
  void OnApplied(uint64_t call, const base::Result<bool>& is_applied);
  // Returns the result of a call, or null if it was given up.
  limits::StoreOperationResult* Find(uint64_t call);
  void Finish(uint64_t call, limits::StoreStatus status);

  net::EventLoop& loop_;
  store::StoreClient& store_;
  std::string key_;
  uint64_t last_call_ = 0;
  absl::flat_hash_map<uint64_t, Call> calls_;
};

}  // namespace chestnutport::limit_service

#endif  // LIMIT_SERVICE_ALLOCATOR_STORE_H_
