// The operators' command, as people and scripts use it.
#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "support/fleet.h"
#include "support/wait.h"

namespace chestnutport::test {
namespace {

using nlohmann::json;
using Words = std::vector<std::string>;

struct Ran {
  int exit_code = -1;
  std::string output;
};

Ran Run(const Words& words) {
  Process command("chestnutport", words);
  const auto status = command.WaitForExit(std::chrono::seconds(60));
  return {status.value_or(-1), command.Output()};
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

class Folder {
 public:
  explicit Folder(const std::string& name)
      : path_(std::filesystem::temp_directory_path() /
              ("chestnutport-command-" + std::to_string(getpid()) + name)) {
    std::filesystem::create_directories(path_);
  }
  ~Folder() { std::filesystem::remove_all(path_); }

  void Declare(const std::string& service, int slots) const {
    std::ofstream(path_ / (service + ".ini"))
        << "[service]\nname = " << service << "\n[match]\npath_prefix = /"
        << service << "/\n[servers]\nslots = " << slots << "\n";
  }
  std::string path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

TEST_CASE("a command line of nonsense is refused, and nothing crashes") {
  const Folder folder("empty");
  const std::vector<Words> rows = {
      {},
      {"nonsense"},
      {"check"},
      {"check", "/no/such/folder"},
      {"check", "--settings=/no/such/file"},
      {"plan"},
      {"plan", "a", "b"},
      {"confirm", "garbage", folder.path()},
      {"confirm", "99999999999999999999-ab", folder.path()},
      {"confirm", "1-ab", "x", folder.path()},
      {"status", "x"},
      {"drain", "a", "b"},
      {"quarantine", "x"},
      {"evacuations", "x"},
      {"evacuate"},
      {"readmit", "a", "b", "c"},
      {"release"},
      {"status", "--node=localhost"},
      {"status", "--node"},
      {"status", "--output=xml"},
      {"status", "--colour=red"},
      {"confirm", "1-ab", folder.path(), "--wait=soon"},
  };
  for (const Words& words : rows) {
    const Ran ran = Run(words);
    INFO((words.empty() ? "no word" : words.front()) << ": " << ran.output);
    CHECK(ran.exit_code == 2);
    CHECK_FALSE(ran.output.empty());
  }
  CHECK(Run({"status", "--node=127.0.0.1:1"}).exit_code == 3);
  CHECK(Run({"drain", "--node=127.0.0.1:1"}).exit_code == 3);
}

TEST_CASE("help is the program's own text and nothing else") {
  const std::string program = GENERATE("chestnutport", "chestnutportd");
  Process command(program, {"--help"});
  CHECK(command.WaitForExit(std::chrono::seconds(60)) == 0);
  const std::string text = command.Output();
  CHECK(Contains(text, "chestnutport"));
  CHECK_FALSE(Contains(text, "--helpfull"));
}

TEST_CASE("a missing setting is told without a line that does not exist") {
  const Folder folder("settings");
  const std::string path = folder.path() + "/node.ini";
  std::ofstream(path) << "[node]\n";
  Process node("chestnutportd", {"--settings=" + path});
  CHECK(node.WaitForExit(std::chrono::seconds(60)).value_or(0) != 0);
  CHECK(Contains(node.Output(), path + ": "));
  CHECK_FALSE(Contains(node.Output(), path + ":0"));
}

TEST_CASE("each command has its help") {
  for (const char* command :
       {"check", "plan", "confirm", "history", "status", "servers", "drain",
        "undrain", "evacuate", "readmit", "evacuations", "quarantine",
        "release"}) {
    const Ran ran = Run({"help", command});
    CHECK(ran.exit_code == 0);
    CHECK(Contains(ran.output, std::string("chestnutport ") + command));
    CHECK(Contains(ran.output, "Exit codes: 0 done"));
  }
}

TEST_CASE("from a folder of declarations to a configuration in force") {
  setenv("CHESTNUTPORT_TOKEN", kOperatorToken, 1);
  Fleet fleet;
  Vm& a = fleet.AddVm("a", "poa-a", "dossie");
  Vm& b = fleet.AddVm("b", "poa-b", "dossie");
  const std::string node = "--node=" + a.operator_address.ToString();
  const Folder folder("declared");
  folder.Declare("dossie", 10);
  REQUIRE(fleet.WaitReady(a, 2, 0));

  const auto plan = [&] {
    const Ran ran = Run({node, "--output=json", "plan", folder.path()});
    REQUIRE(ran.exit_code == 0);
    return json::parse(ran.output).at("plan").get<std::string>();
  };
  const std::string first = plan();
  const Ran confirmed =
      Run({node, "confirm", first, folder.path(), "--wait=30s"});
  INFO(confirmed.output);
  REQUIRE(confirmed.exit_code == 0);
  CHECK(Contains(confirmed.output, "Confirmed: revision 1"));
  CHECK(Contains(confirmed.output, "In force on all 2 nodes"));

  SECTION("a plan names keys, servers and tenants") {
    folder.Declare("dossie", 11);
    const Ran ran = Run({node, "plan", folder.path()});
    CHECK(Contains(ran.output, "changed  dossie   servers  slots  10      11"));
    CHECK(Contains(ran.output, "dossie   2        all"));
  }
  SECTION("a stale plan is refused with what changed, and changes nothing") {
    const std::string second = plan();
    folder.Declare("dossie", 11);
    const std::string third = plan();
    CHECK(Run({node, "confirm", third, folder.path()}).exit_code == 0);
    folder.Declare("dossie", 10);
    const Ran stale = Run({node, "confirm", second, folder.path()});
    CHECK(stale.exit_code == 1);
    CHECK(Contains(stale.output, "stale-plan"));
    CHECK(Contains(stale.output, "alice"));
    CHECK(Contains(stale.output, "slots"));
    CHECK(Run({node, "confirm", first, folder.path()}).exit_code == 0);
  }
  SECTION("a plan is good for its own declarations only") {
    const std::string second = plan();
    folder.Declare("dossie", 11);
    const Ran ran = Run({node, "confirm", second, folder.path()});
    CHECK(ran.exit_code == 1);
    CHECK(Contains(ran.output, "plan-mismatch"));
  }
  SECTION("status, servers and history are readable") {
    CHECK(Contains(Run({node, "status"}).output,
                   "Revision 1 is in force on 2 of 2 nodes; 0 did not answer"));
    CHECK(Contains(Run({node, "servers"}).output, "serving"));
    CHECK(Contains(Run({node, "history"}).output, "alice"));
  }
  SECTION("a node that stopped answering is told apart") {
    b.node->Signal(SIGSTOP);
    const Ran ran = Run({node, "status"});
    b.node->Signal(SIGCONT);
    CHECK(Contains(ran.output, "1 of 2 nodes; 1 did not answer"));
  }
  SECTION("another node is drained and taken back") {
    CHECK(Run({node, "drain", "b"}).exit_code == 0);
    CHECK(fleet.WaitReady(a, 1, 1));
    CHECK(Run({node, "undrain", "b"}).exit_code == 0);
    CHECK(fleet.WaitReady(a, 2, 1));
    CHECK(Run({node, "drain", "nobody"}).exit_code == 1);
  }
  SECTION("a data centre is evacuated by a plan, and taken back by one") {
    const auto plan_of = [&](const char* command) {
      const Ran ran = Run({node, "--output=json", command, "poa-b"});
      return json::parse(ran.output).at("plan").get<std::string>();
    };
    const std::string evacuation = plan_of("evacuate");
    CHECK(Contains(Run({node, "evacuations"}).output, "none"));
    CHECK(
        Run({node, "evacuate", "poa-b", "evacuate-poa-b-beside-x"}).exit_code ==
        1);
    CHECK(Run({node, "evacuate", "nowhere"}).exit_code == 1);
    CHECK(Run({node, "evacuate", "poa-b", evacuation}).exit_code == 0);
    // Repeating it is harmless.
    CHECK(Run({node, "evacuate", "poa-b", evacuation}).exit_code == 0);
    CHECK(fleet.WaitReady(a, 1, 1));
    CHECK(Contains(Run({node, "evacuations"}).output, "poa-b"));
    CHECK(Run({node, "readmit", "poa-b", plan_of("readmit")}).exit_code == 0);
    CHECK(fleet.WaitReady(a, 2, 1));
  }
  SECTION("the store is down: not confirmed, and when to come back") {
    folder.Declare("dossie", 11);
    const std::string second = plan();
    fleet.CommandStore(R"({"mode": "down"})");
    const Ran ran = Run({node, "confirm", second, folder.path()});
    CHECK(ran.exit_code == 1);
    CHECK(Contains(ran.output, "try again in"));
  }
  SECTION("without the token nothing is told") {
    setenv("CHESTNUTPORT_TOKEN", "wrong", 1);
    const Ran ran = Run({node, "status"});
    CHECK(ran.exit_code == 1);
    CHECK(Contains(ran.output, "unauthorized"));
  }
}

}  // namespace
}  // namespace chestnutport::test
