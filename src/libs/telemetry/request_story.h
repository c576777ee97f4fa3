// Puts the log lines of one request, from any number of nodes, in order, and
// says in a sentence why it ended as it did.
#ifndef TELEMETRY_REQUEST_STORY_H_
#define TELEMETRY_REQUEST_STORY_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutport::telemetry {

// A log line as key=value fields.
struct StoryLine {
  std::string text;  // As it was written.
  std::map<std::string, std::string, std::less<>> fields;

  // Empty if the line has no such field.
  std::string_view Field(std::string_view name) const;
};

// The fields of a line; none if it is no log line.
StoryLine ReadLogLine(std::string_view line);

class RequestStory {
 public:
  explicit RequestStory(std::string request) : request_(std::move(request)) {}

  // Takes a line of any node's log; others than this request's are passed over.
  void Add(std::string_view line);

  // By time, as the nodes' clocks say.
  std::vector<StoryLine> Lines() const;
  // What ended the request, in a sentence.
  std::string Cause() const;

 private:
  std::string request_;
  std::vector<StoryLine> lines_;
};

}  // namespace chestnutport::telemetry

#endif  // TELEMETRY_REQUEST_STORY_H_
