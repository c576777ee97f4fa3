// Whether this node reads the store for the others of its data centre.
#ifndef CONFIGURATION_READER_ROLE_H_
#define CONFIGURATION_READER_ROLE_H_

#include <cstddef>
#include <span>

#include "membership/member.h"

namespace chestnutport::configuration {

// Why the store is to be read at once, whatever watch is open.
enum class ReadTrigger {
  kNone,
  kNewRole,  // It has become a reader, or an alert one.
  // Once, also by who may stand in for it.
  kShortWatchReaderLostStore,
};

class ReaderRole {
 public:
  [[nodiscard]] ReadTrigger SetMembers(
      const membership::Member& self,
      std::span<const membership::Member> members);

  // True until other members are known.
  bool is_reader() const { return is_reader_; }
  // Whether its watches are short; see ReaderSelection.
  bool has_short_watches() const { return has_short_watches_; }
  // Whether no other node is known to be alive.
  bool is_alone() const { return is_alone_; }
  // Members that are alive and have said that they lost the store.
  size_t members_without_store() const { return members_without_store_; }

 private:
  bool is_reader_ = true;
  bool has_short_watches_ = true;
  bool is_alone_ = true;
  size_t members_without_store_ = 0;
  size_t short_watch_readers_without_store_ = 0;
};

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_READER_ROLE_H_
