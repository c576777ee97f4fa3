// Reads the evacuated data centres from the store while this node is a reader
// of its data centre. Used on the control thread only.
#ifndef EVACUATION_STORE_EVACUATION_READER_H_
#define EVACUATION_STORE_EVACUATION_READER_H_

#include <functional>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "configuration/current_watch.h"
#include "configuration/first_reads.h"
#include "configuration/read_timing.h"
#include "configuration/reader_role.h"
#include "evacuation/evacuations.h"
#include "evacuation_store/evacuation_format.h"
#include "membership/member.h"
#include "net/event_loop.h"
#include "store/store_client.h"

namespace chestnutport::evacuation_store {

class EvacuationReader {
 public:
  using Handler = std::function<void(const evacuation::Evacuations&)>;

  // `loop` and `store` must outlive the reader. `max_read_interval` limits the
  // delay between two reads while the store fails. `read` is called after each
  // read whose entries could be parsed.
  EvacuationReader(net::EventLoop& loop,
                   store::StoreClient& store,
                   AnyEvacuationFormat format,
                   base::Duration max_read_interval,
                   const base::Random& random,
                   Handler read);
  ~EvacuationReader();

  void Start();
  void SetMembers(const membership::Member& self,
                  const std::vector<membership::Member>& members);
  // Reads immediately, after this node changed the evacuations.
  void ReadNow();

 private:
  void Schedule(base::Duration wait);
  // Schedules a read soon, with jitter for the readers whose watches ended at
  // the same time.
  void ScheduleSoon();
  void Read();
  void OnPage(const base::Result<store::StorePage>& page);
  void Watch(int64_t after);
  void OnWatchEnded(int64_t after,
                    const base::Result<store::StoreChanges>& changes);
  void FinishRound(bool failed);

  net::EventLoop& loop_;
  store::StoreClient& store_;
  AnyEvacuationFormat format_;
  base::Random random_;
  Handler on_read_;
  configuration::ReadTiming timing_;
  configuration::ReaderRole role_;
  net::EventLoop::TimerId timer_ = 0;
  configuration::CurrentWatch watch_;
  bool has_read_ = false;  // Since the start of the node.
  configuration::FirstReads first_reads_;
  bool is_unreadable_ =
      false;  // At the last read. Logged when it becomes true.
};

}  // namespace chestnutport::evacuation_store

#endif  // EVACUATION_STORE_EVACUATION_READER_H_
