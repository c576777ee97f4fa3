// Evidence as it travels between nodes and lies in the store.
#include "quarantine/evidence_codec.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace chestnutport::quarantine {
namespace {

using base::Instant;
using std::chrono::milliseconds;

constexpr Instant kStart{std::chrono::hours(1)};

std::vector<RequestEvidence> SomeEvidence() {
  std::vector<RequestEvidence> all;
  const auto count = *rc::gen::inRange(1, 20);
  for (int i = 0; i < count; ++i) {
    RequestEvidence one{{*rc::gen::inRange<uint64_t>(1, UINT64_MAX)}, {}, {}};
    const auto crashes = *rc::gen::inRange(0, 9);
    for (int mark = 0; mark < crashes; ++mark) {
      one.crashes.push_back(
          {.crash = {{*rc::gen::arbitrary<uint64_t>()},
                     *rc::gen::arbitrary<uint32_t>()},
           .lamport_time = *rc::gen::arbitrary<uint64_t>(),
           .run_time = milliseconds(*rc::gen::inRange(0, 100000)),
           .other_crashes = *rc::gen::inRange(0, 64),
           .is_sole_suspect = *rc::gen::arbitrary<bool>(),
           .at = kStart - milliseconds(*rc::gen::inRange(0, 100000))});
    }
    const auto refuted = *rc::gen::inRange(0, 9);
    for (int id = 0; id < refuted; ++id) {
      one.refuted.push_back(
          {{{*rc::gen::arbitrary<uint64_t>()}, *rc::gen::arbitrary<uint32_t>()},
           *rc::gen::arbitrary<uint64_t>()});
    }
    all.push_back(one);
  }
  return all;
}

TEST_CASE("evidence travels") {
  rc::prop("and is read as it was written, by another clock", [] {
    const auto sent = SomeEvidence();
    const std::string bytes = EncodeEvidence(sent, kStart);
    const auto shift = std::chrono::hours(5);
    const auto decoded = DecodeEvidence(bytes, kStart + shift);
    RC_ASSERT(decoded.has_value());
    const auto& read = *decoded;
    RC_ASSERT(read.size() == sent.size());
    size_t size = 5;
    for (size_t i = 0; i < sent.size(); ++i) {
      size += EncodedSize(sent[i]);
      RC_ASSERT(read[i].fingerprint == sent[i].fingerprint);
      RC_ASSERT(read[i].refuted == sent[i].refuted);
      RC_ASSERT(read[i].crashes.size() == sent[i].crashes.size());
      for (size_t mark = 0; mark < sent[i].crashes.size(); ++mark) {
        RC_ASSERT(read[i].crashes[mark].crash == sent[i].crashes[mark].crash);
        RC_ASSERT(read[i].crashes[mark].lamport_time ==
                  sent[i].crashes[mark].lamport_time);
        RC_ASSERT(read[i].crashes[mark].run_time ==
                  sent[i].crashes[mark].run_time);
        RC_ASSERT(read[i].crashes[mark].is_sole_suspect ==
                  sent[i].crashes[mark].is_sole_suspect);
        RC_ASSERT(read[i].crashes[mark].at == sent[i].crashes[mark].at + shift);
      }
    }
    RC_ASSERT(bytes.size() <= size);
  });

  rc::prop("and what is broken on the way is not read", [] {
    std::string bytes = EncodeEvidence(SomeEvidence(), kStart);
    const auto places = *rc::gen::container<std::vector<size_t>>(
        4, rc::gen::inRange<size_t>(0, bytes.size()));
    for (const size_t place : places)
      bytes[place] = *rc::gen::arbitrary<char>();
    bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size() + 1));
    DecodeEvidence(bytes, kStart);
  });

  CHECK(EncodeEvidence({}, kStart).empty());
  CHECK(DecodeEvidence("", kStart).value().empty());
  CHECK_FALSE(DecodeEvidence("\xc1", kStart).has_value());
}

}  // namespace
}  // namespace chestnutport::quarantine
