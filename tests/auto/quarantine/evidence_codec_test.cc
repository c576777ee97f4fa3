// Encoding of evidence for messages between nodes and for the store.
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
    RequestEvidence evidence{
        {*rc::gen::inRange<uint64_t>(1, UINT64_MAX)}, {}, {}};
    const auto crashes = *rc::gen::inRange(0, 9);
    for (int observation = 0; observation < crashes; ++observation) {
      evidence.crashes.push_back(
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
      evidence.refuted.push_back(
          {{{*rc::gen::arbitrary<uint64_t>()}, *rc::gen::arbitrary<uint32_t>()},
           *rc::gen::arbitrary<uint64_t>()});
    }
    all.push_back(evidence);
  }
  return all;
}

TEST_CASE("evidence is encoded and decoded") {
  rc::prop("decoding restores it relative to another clock", [] {
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
      for (size_t observation = 0; observation < sent[i].crashes.size();
           ++observation) {
        RC_ASSERT(read[i].crashes[observation].crash ==
                  sent[i].crashes[observation].crash);
        RC_ASSERT(read[i].crashes[observation].lamport_time ==
                  sent[i].crashes[observation].lamport_time);
        RC_ASSERT(read[i].crashes[observation].run_time ==
                  sent[i].crashes[observation].run_time);
        RC_ASSERT(read[i].crashes[observation].is_sole_suspect ==
                  sent[i].crashes[observation].is_sole_suspect);
        RC_ASSERT(read[i].crashes[observation].at ==
                  sent[i].crashes[observation].at + shift);
      }
    }
    RC_ASSERT(bytes.size() <= size);
  });

  rc::prop("damaged bytes are decoded without a crash", [] {
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
