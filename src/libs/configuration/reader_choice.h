// Which nodes read the store for the others.
#ifndef CONFIGURATION_READER_CHOICE_H_
#define CONFIGURATION_READER_CHOICE_H_

#include <cstddef>
#include <span>

#include "membership/member.h"

namespace chestnutport::configuration {

// At least; one may be lost at the same time as the other data centres.
inline constexpr size_t kReadersPerDataCentre = 2;
// At least, if there are so many nodes, spread over the data centres: a change
// is heard while one of the readers reaches the store, and who reaches it may
// be a small part of the fleet.
inline constexpr size_t kReadersPerFleet = 16;

// True if `self` is among the first readers of its data centre by rendezvous
// hashing over the members that are alive. Nodes whose views differ may choose
// other readers for a while; that is harmless.
bool IsReader(const membership::Member& self,
              std::span<const membership::Member> members);

// Readers whose watches are short. Two: one may be lost at the same time.
inline constexpr size_t kAlertReaders = 2;

// True if `self` is one of the fleet's alert readers: the first reader of its
// data centre, which is one of the first kAlertReaders that have such. If all
// readers lose their watches at once, these find out soon.
bool IsAlertReader(const membership::Member& self,
                   std::span<const membership::Member> members);

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_READER_CHOICE_H_
