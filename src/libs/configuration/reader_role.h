// Whether this node reads the store for the others of its data centre.
#ifndef CONFIGURATION_READER_ROLE_H_
#define CONFIGURATION_READER_ROLE_H_

#include <span>

#include "membership/member.h"

namespace chestnutport::configuration {

class ReaderRole {
 public:
  // Returns whether this node has become an alert reader, so that a watch
  // which may wait for long is to be given up.
  [[nodiscard]] bool SetMembers(const membership::Member& self,
                                std::span<const membership::Member> members);

  // True until other members are known.
  bool is_reader() const { return is_reader_; }
  // Whether its watches are short; see IsAlertReader().
  bool is_alert() const { return is_alert_; }
  // Whether no other node is known to be alive.
  bool is_alone() const { return is_alone_; }

 private:
  bool is_reader_ = true;
  bool is_alert_ = true;
  bool is_alone_ = true;
};

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_READER_ROLE_H_
