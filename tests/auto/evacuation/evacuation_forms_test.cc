// How evacuations are read from the store's entries.
#include <catch2/catch.hpp>

#include "evacuation_store/native_evacuation_format.h"
#include "platform/hosted_evacuation_form.h"

namespace chestnutport::evacuation_store {
namespace {

using Entries = std::vector<store::StoreEntry>;

TEST_CASE("the product's own form is one list") {
  const NativeEvacuationFormat form("fleet");
  const std::string key = form.Prefix();
  CHECK(form.Read({}) == DataCentres());
  const Entries written = {{key, NativeEvacuationFormat::Write({"poa-b"}), 4}};
  CHECK(form.Read(written) == DataCentres{"poa-b"});

  SECTION("what is no list of names is not taken for the end of one") {
    const std::string value =
        GENERATE("", "{}", "[1]", "poa-b", "[\"a\",null]");
    CHECK_FALSE(form.Read(Entries{{key, value, 5}}).has_value());
  }
}

TEST_CASE("the hosted form is a key for each data centre") {
  const platform::HostedEvacuationForm form;
  CHECK(form.Read({}) == DataCentres());
  const Entries entries = {{form.Prefix() + "poa-a", "{}", 3},
                           {form.Prefix() + "poa-b", "", 4}};
  CHECK(form.Read(entries) == DataCentres{"poa-a", "poa-b"});
}

}  // namespace
}  // namespace chestnutport::evacuation_store
