// Which nodes read the store for the others.
#ifndef CONFIGURATION_READER_CHOICE_H_
#define CONFIGURATION_READER_CHOICE_H_

#include <cstddef>
#include <span>

#include "membership/member.h"

namespace chestnutport::configuration {

// One may be lost at the same time as the other data centres.
inline constexpr size_t kReadersPerDataCentre = 2;
// A fleet of so many nodes, or fewer, has each of them read: it costs little,
// and any that reaches the store hears of a change at once. In a larger one,
// readers that have lost the store hand the duty on, which takes a second or
// two.
inline constexpr size_t kSmallFleet = 16;
// Nodes that try in place of readers that have lost the store, those included;
// at least one more in each data centre. Bounds what is asked of a store that
// serves nobody.
inline constexpr size_t kMostTryingPerFleet = 32;

// True if the fleet is small, or `self` is among the first
// kReadersPerDataCentre of its data centre by duties::StoreDutyOrder(). A
// reader that has lost the store goes on trying, and the next one reads beside
// it. Nodes whose views differ may choose other readers for a while; that is
// harmless.
bool IsReader(const membership::Member& self,
              std::span<const membership::Member> members);

// True if `self` is among those that may take a reader's place. They read once
// when an alert reader has lost the store: whoever reaches it brings what was
// confirmed, and the others are passed over when readers are chosen.
bool MayStandIn(const membership::Member& self,
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
