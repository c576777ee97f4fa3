// Formats of evacuations in the store.
#include <catch2/catch.hpp>

#include "evacuation_store/native_evacuation_format.h"
#include "platform/hosted_evacuation_format.h"

namespace chestnutport::evacuation_store {
namespace {

using Entries = std::vector<store::StoreEntry>;

TEST_CASE("the native format is one list") {
  const NativeEvacuationFormat format("fleet");
  const std::string key = format.Prefix();
  CHECK(format.Read({}) == DataCentres());
  const Entries written = {{key, NativeEvacuationFormat::Write({"poa-b"}), 4}};
  CHECK(format.Read(written) == DataCentres{"poa-b"});

  SECTION("an invalid value is not read as an empty list") {
    const std::string value =
        GENERATE("", "{}", "[1]", "poa-b", "[\"a\",null]");
    CHECK_FALSE(format.Read(Entries{{key, value, 5}}).has_value());
  }
}

TEST_CASE("the hosted format is one key per data centre") {
  const platform::HostedEvacuationFormat format;
  CHECK(format.Read({}) == DataCentres());
  const Entries entries = {{format.Prefix() + "poa-a", "{}", 3},
                           {format.Prefix() + "poa-b", "", 4}};
  CHECK(format.Read(entries) == DataCentres{"poa-a", "poa-b"});
}

}  // namespace
}  // namespace chestnutport::evacuation_store
