// Whether this node reads the store for the others of its data centre.
#ifndef CONFIGURATION_READER_ROLE_H_
#define CONFIGURATION_READER_ROLE_H_

#include <cstddef>
#include <span>

#include "configuration/reader_selection.h"
#include "membership/member.h"

namespace chestnutport::configuration {

// Why the store has to be read at once, even if a watch is open.
enum class ReadTrigger {
  kNone,
  kNewRole,  // The node has become a reader or a short-watch reader.
  // Triggers one read by each candidate, whether or not it is a reader.
  kShortWatchReaderLostStore,
};

class ReaderRole {
 public:
  explicit ReaderRole(ShortWatches short_watches = ShortWatches::kTwoInFleet)
      : short_watches_(short_watches) {}

  [[nodiscard]] ReadTrigger SetMembers(
      const membership::Member& self,
      std::span<const membership::Member> members);

  // True until SetMembers() is called, so that a starting node reads.
  bool is_reader() const { return is_reader_; }
  // Whether the node is a short-watch reader; see ReaderSelection.
  bool has_short_watches() const { return has_short_watches_; }
  // Whether no other node is known to be alive.
  bool is_alone() const { return is_alone_; }
  // Members that are alive and have reported the loss of the store.
  size_t members_without_store() const { return members_without_store_; }

 private:
  ShortWatches short_watches_;
  bool is_reader_ = true;
  bool has_short_watches_ = true;
  bool is_alone_ = true;
  size_t members_without_store_ = 0;
  size_t short_watch_readers_without_store_ = 0;
};

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_READER_ROLE_H_
