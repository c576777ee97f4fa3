#include "telemetry/request_story.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"

namespace chestnutport::telemetry {
namespace {

constexpr std::string_view kEnded = "call-ended";
constexpr std::string_view kRejected = "call-rejected";
constexpr std::string_view kGone = "caller-gone";
constexpr std::string_view kGate = "gate-decided";
constexpr std::string_view kLost = "attempt-lost";
constexpr std::string_view kLate = "server-late";

// A value: quoted, with backslashes before what is escaped, or up to a space.
std::string TakeValue(std::string_view& rest) {
  std::string value;
  const bool quoted = rest.starts_with('"');
  if (quoted)
    rest.remove_prefix(1);
  while (!rest.empty()) {
    const char c = rest.front();
    rest.remove_prefix(1);
    if (quoted && c == '\\' && !rest.empty()) {
      value.push_back(rest.front());
      rest.remove_prefix(1);
      continue;
    }
    if (c == (quoted ? '"' : ' '))
      break;
    value.push_back(c);
  }
  return value;
}

const base::ErrorAnswer* FindError(std::string_view name) {
  for (const base::ErrorAnswer& row : base::ErrorTable()) {
    if (row.name == name)
      return &row;
  }
  return nullptr;
}

// What the last gate that spoke said of its server.
std::string GateState(const std::vector<StoryLine>& lines) {
  const auto found =
      std::find_if(lines.rbegin(), lines.rend(), [](const StoryLine& line) {
        return line.Field("name") == kGate || line.Field("name") == kLost;
      });
  if (found == lines.rend())
    return "";
  std::string text = " Node ";
  text.append(found->Field("node")).append(" said ");
  text.append(found->Field("error")).append(" with ");
  text.append(found->Field("in_flight")).append(" of ");
  text.append(found->Field("limit")).append(" running, ");
  text.append(found->Field("waiting")).append(" waiting, its VM ");
  text.append(found->Field("slowness")).append(" times as slow as usual, and ");
  text.append(found->Field("failing")).append(" of its answers failing");
  text.append(found->Field("reached_server") == "yes"
                  ? "; the request had reached its server."
                  : "; the request had not reached its server.");
  return text;
}

// What the gate said of the server that answered late.
std::string LateState(const std::vector<StoryLine>& lines) {
  const auto found = std::find_if(
      lines.rbegin(), lines.rend(),
      [](const StoryLine& line) { return line.Field("name") == kLate; });
  if (found == lines.rend())
    return GateState(lines);
  std::string text = " Node ";
  text.append(found->Field("node")).append(" kept it waiting for ");
  text.append(found->Field("queued")).append(" and its server took ");
  text.append(found->Field("serving")).append("; when it was started the VM ");
  text.append("was ").append(found->Field("admitted_slowness"));
  text.append(" times as slow as usual, by a word that was ");
  text.append(found->Field("slowness_age")).append(" old.");
  return text;
}

std::string CauseOfEnd(const StoryLine& end,
                       const std::vector<StoryLine>& lines) {
  const base::ErrorAnswer* error = FindError(end.Field("error"));
  std::string text;
  if (!error) {
    text = end.Field("late") == "yes" ? "Served, but late: it took "
                                      : "Answered by a server: it took ";
    text.append(end.Field("took")).append(" of a target of ");
    text.append(end.Field("target")).append("; sent to ");
    text.append(end.Field("sent")).append(".");
    return text + LateState(lines);
  }
  text = error->outcome == base::Outcome::kNotRun
             ? "Not run, and never will be: "
             : "The outcome is not known: ";
  text.append(error->text).append(", after ").append(end.Field("took"));
  text.append(" of ").append(end.Field("allowed")).append("; sent to ");
  text.append(end.Field("sent").empty() ? "nobody" : end.Field("sent"));
  text.append(".");
  return text + GateState(lines);
}

}  // namespace

std::string_view StoryLine::Field(std::string_view name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string_view() : found->second;
}

StoryLine ReadLogLine(std::string_view line) {
  StoryLine read;
  const size_t start = line.find("time=");
  if (start == std::string_view::npos)
    return read;
  read.text = line.substr(start);
  std::string_view rest = read.text;
  while (!rest.empty()) {
    const size_t equals = rest.find('=');
    if (equals == std::string_view::npos)
      break;
    std::string name(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    read.fields[std::move(name)] = TakeValue(rest);
    while (rest.starts_with(' '))
      rest.remove_prefix(1);
  }
  return read;
}

void RequestStory::Add(std::string_view line) {
  if (line.find(request_) == std::string_view::npos)
    return;
  StoryLine read = ReadLogLine(line);
  if (read.Field("request") == request_)
    lines_.push_back(std::move(read));
}

std::vector<StoryLine> RequestStory::Lines() const {
  std::vector<StoryLine> lines = lines_;
  std::ranges::stable_sort(lines, {}, [](const StoryLine& line) {
    return std::string(line.Field("time"));
  });
  return lines;
}

std::string RequestStory::Cause() const {
  const std::vector<StoryLine> lines = Lines();
  if (lines.empty()) {
    return "No line names this request: it was an ordinary success, its node "
           "was killed, or its lines were held back (see suppressed).";
  }
  for (auto line = lines.rbegin(); line != lines.rend(); ++line) {
    const std::string_view name = line->Field("name");
    if (name == kEnded)
      return CauseOfEnd(*line, lines);
    if (name == kGone) {
      return absl::StrCat("The caller went away after ",
                          std::string(line->Field("took")), ".") +
             GateState(lines);
    }
    if (name == kRejected) {
      const base::ErrorAnswer* error = FindError(line->Field("error"));
      std::string text = "Answered without looking for a server: ";
      return text.append(error ? error->text : line->Field("error"))
          .append(".");
    }
  }
  return "Its ingress wrote no end: that node was killed or cut off." +
         GateState(lines);
}

}  // namespace chestnutport::telemetry
