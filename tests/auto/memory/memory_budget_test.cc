// The memory for request bodies: who gets it, and that all of it comes back.
#include "memory/memory_budget.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <deque>
#include <utility>
#include <vector>

#include "memory/body_builder.h"

namespace chestnutport::memory {
namespace {

constexpr MemoryBudget::CallerId kAnna = 1;
constexpr MemoryBudget::CallerId kBen = 2;

TEST_CASE("a budget of request bodies") {
  const auto budget = std::make_shared<MemoryBudget>(100);

  SECTION("is given to as many as fit, for the whole of each body") {
    const auto first = budget->TryReserve(kAnna, 40);
    auto second = budget->TryReserve(kAnna, 40);
    REQUIRE((first && second));
    CHECK_FALSE(budget->TryReserve(kAnna, 40));
    budget->Wait(7, kAnna, 40);

    SECTION("and one that waits gets what is released") {
      CHECK_FALSE(budget->TakeGranted());
      second.reset();
      const auto granted = budget->TakeGranted();
      REQUIRE(granted);
      CHECK(granted->ticket == 7);
      CHECK(budget->held() == 80);
    }
    SECTION("and nobody passes one that waits") {
      CHECK_FALSE(budget->TryReserve(kBen, 10));
    }
    SECTION("and one that left gets nothing") {
      budget->Cancel(7);
      second.reset();
      CHECK_FALSE(budget->TakeGranted());
      CHECK(budget->TryReserve(kBen, 60));
    }
  }
  SECTION("goes first to the caller who holds the least") {
    auto first = budget->TryReserve(kAnna, 50);
    const auto second = budget->TryReserve(kAnna, 50);
    budget->Wait(1, kAnna, 50);
    budget->Wait(2, kAnna, 50);
    budget->Wait(3, kBen, 50);
    first.reset();
    CHECK(budget->TakeGranted()->ticket == 3);
  }
  SECTION("says so when there may be room for those that wait") {
    int calls = 0;
    budget->set_on_room([&calls] { ++calls; });
    auto first = budget->TryReserve(kAnna, 100);
    budget->Wait(1, kBen, 10);
    CHECK(calls == 0);
    first.reset();
    CHECK(calls == 1);
  }
  SECTION("never grants what exceeds it") {
    CHECK_FALSE(budget->CanHold(101));
    CHECK_FALSE(budget->TryReserve(kAnna, 101));
  }
}

TEST_CASE("a body holds its memory until its last copy is gone") {
  const auto budget = std::make_shared<MemoryBudget>(1000);
  BodyBuilder builder;
  builder.AddReservation(*budget->TryReserve(kAnna, 600));
  builder.Append(std::string(500, 'a'));
  CHECK(builder.room() == 100);
  Body body = builder.Finish();
  CHECK(budget->held() == 500);
  auto copy = std::make_unique<Body>(body);
  body = Body();
  CHECK(budget->held() == 500);
  CHECK(copy->hash() == Body(std::string(500, 'a')).hash());
  copy.reset();
  CHECK(budget->held() == 0);
}

TEST_CASE("a body that is given up releases its memory") {
  const auto budget = std::make_shared<MemoryBudget>(1'000'000);
  BodyBuilder builder;
  builder.AddReservation(*budget->TryReserve(kAnna, 900'000));
  builder.Append(std::string(700'000, 'a'));
  builder.Reset();
  CHECK(budget->held() == 0);
}

TEST_CASE("bodies of any sizes and parts") {
  rc::prop("never exceed the budget, are whole, and leave nothing behind", [] {
    constexpr size_t kLimit = 2'000'000;
    const auto budget = std::make_shared<MemoryBudget>(kLimit);
    std::deque<Body> bodies;
    const auto sizes = *rc::gen::container<std::vector<size_t>>(
        rc::gen::inRange<size_t>(1, 700'000));
    for (const size_t size : sizes) {
      auto reservation = budget->TryReserve(size % 3, size);
      while (!reservation && !bodies.empty()) {
        bodies.pop_front();
        reservation = budget->TryReserve(size % 3, size);
      }
      RC_ASSERT(reservation.has_value());
      BodyBuilder builder;
      builder.AddReservation(std::move(*reservation));
      const std::string text(size, static_cast<char>('a' + size % 26));
      const size_t part = *rc::gen::inRange<size_t>(1, 400'000);
      for (size_t at = 0; at < size; at += part)
        builder.Append(std::string_view(text).substr(at, part));
      bodies.push_back(builder.Finish());
      RC_ASSERT(bodies.back() == text);
      RC_ASSERT(bodies.back().hash() == Body(text).hash());
      RC_ASSERT(budget->held() <= kLimit);
    }
    bodies.clear();
    RC_ASSERT(budget->held() == 0U);
  });
}

}  // namespace
}  // namespace chestnutport::memory
