// Whether this node reads the store for the others of its data centre.
#ifndef CONFIGURATION_READER_ROLE_H_
#define CONFIGURATION_READER_ROLE_H_

#include <cstddef>
#include <span>

#include "membership/member.h"

namespace chestnutport::configuration {

// Why the store is to be read at once, whatever watch is open.
enum class ReadSoon {
  kNo,
  kNewRole,  // It has become a reader, or an alert one.
  // Once, also by who may stand in for it.
  kAlertReaderLostStore,
};

class ReaderRole {
 public:
  [[nodiscard]] ReadSoon SetMembers(
      const membership::Member& self,
      std::span<const membership::Member> members);

  // True until other members are known.
  bool is_reader() const { return is_reader_; }
  // Whether its watches are short; see ReaderRanks.
  bool is_alert() const { return is_alert_; }
  // Whether no other node is known to be alive.
  bool is_alone() const { return is_alone_; }
  // Members that are alive and have said that they lost the store.
  size_t lost_members() const { return lost_members_; }

 private:
  bool is_reader_ = true;
  bool is_alert_ = true;
  bool is_alone_ = true;
  size_t lost_members_ = 0;
  size_t lost_alert_readers_ = 0;
};

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_READER_ROLE_H_
