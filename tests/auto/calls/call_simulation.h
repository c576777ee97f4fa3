// Simulates calls and admission controllers joined by a link that loses,
// duplicates, delays and reorders messages, with nodes that freeze and are
// replaced. The faults and their order are given as a list of events.
#ifndef CALLS_CALL_SIMULATION_H_
#define CALLS_CALL_SIMULATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "admission/admission_controller.h"
#include "call_fixture.h"

namespace chestnutport::test {

// Deliberate defects that the property tests must detect.
enum class Defect {
  kNone,
  kCancelForgotten,         // A cancellation is confirmed, but not recorded.
  kStaleTargetMeansNotRun,  // A replaced node reports "not run" for attempts of
                            // its predecessor.
  kLostMeansNotOpened,      // A lost connection is reported as never opened.
  kAnswersAtDeadline,  // The ingress sends an extra answer at the deadline.
  kAnswersMisrouted,   // Answers are matched by position in the link.
  kAcceptsDuplicates,  // Answers are accepted from any connection.
};

enum class EventKind : uint8_t {
  kArrive,
  kDeliver,
  kDropMessage,
  kDuplicate,
  kLoseConnection,
  kFinish,
  kFreeze,
  kResume,
  kReplace,
  kCallerDisconnects,
  kAdvanceTime,
  kCount,
};

struct Event {
  EventKind kind = EventKind::kArrive;
  uint32_t pick =
      0;  // Index of the message, node or call, modulo their number.
};

struct Violations {
  bool ran_twice = false;  // A request that is not repeatable.
  bool false_not_run = false;
  bool wrong_answer_count = false;
  bool misrouted_answer = false;

  bool Any() const {
    return ran_twice || false_not_run || wrong_answer_count || misrouted_answer;
  }
};

class CallSimulation {
 public:
  explicit CallSimulation(Defect defect);

  // Applies `events`, then lets all deadlines pass and delivers the messages
  // left in the link.
  Violations Run(const std::vector<Event>& events);

 private:
  enum class MessageKind {
    kAttempt,
    kAttemptReply,
    kStatusQuery,
    kStatusReply
  };

  struct Message {
    MessageKind kind;
    size_t call = 0;
    int attempt = 0;
    size_t node = 0;
    uint64_t incarnation = 0;  // Of the target node.
    bool cancel = false;
    bool is_duplicate = false;  // Arrives on another connection.
    calls::AttemptEnd end{};    // For kAttemptReply.
    // For kStatusReply.
    calls::AttemptStatus state = calls::AttemptStatus::kNoAnswer;
  };

  struct Request {
    std::unique_ptr<calls::Call> call;
    bool is_repeatable = false;
    bool has_caller_gone = false;
    int runs = 0;
    int answers = 0;
    bool reported_not_run = false;
    // Node and its incarnation, by attempt.
    std::vector<std::pair<size_t, uint64_t>> sent_to;
  };

  struct Node {
    uint64_t incarnation = 0;
    bool is_frozen = false;
    std::unique_ptr<admission::AdmissionController> admission;
    std::vector<Message> running;
    std::map<base::AttemptId, Message> arrived;
  };

  void ApplyEvent(const Event& event);
  void Arrive(bool is_repeatable);
  void RunSteps(size_t request, const calls::NextSteps& steps);
  void SendStatusQuery(size_t request, int attempt, bool cancel);
  void Deliver(const Message& message);
  bool OvertakesOriginal(const Message& message) const;
  void DeliverAttempt(const Message& message);
  void DeliverStatusQuery(const Message& message);
  void Perform(Node& node, const admission::AdmissionActions& actions);
  void Finish(Node& node, uint32_t pick);
  void Replace(Node& node);
  void AdvanceTime(base::Duration time);
  std::optional<Message> TakeMessage(uint32_t pick);

  Defect defect_;
  base::Instant now_ = kStart;
  Budgets budgets_;
  std::vector<Request> requests_;
  std::vector<Node> nodes_;
  std::vector<Message> link_;
  bool is_misrouted_ = false;
};

}  // namespace chestnutport::test

#endif  // CALLS_CALL_SIMULATION_H_
