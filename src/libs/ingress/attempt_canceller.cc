#include "ingress/attempt_canceller.h"

namespace chestnutport::ingress {
namespace {

// Another node answers within a round trip of some milliseconds. All questions
// together end within half a second, the time in which work for a caller that
// left is to stop.
constexpr std::chrono::milliseconds kTimeout(150);
constexpr int kMostQuestions = 3;

}  // namespace

AttemptCanceller::AttemptCanceller(AttemptSender& sender,
                                   AttemptSettler& settler)
    : sender_(sender), settler_(settler) {}

void AttemptCanceller::Cancel(const routing::ServerCandidate& server,
                              const base::AttemptId& attempt,
                              Question question) {
  sender_.Abandon(attempt);
  Ask(server, attempt, question, 0);
}

void AttemptCanceller::Ask(const routing::ServerCandidate& server,
                           const base::AttemptId& attempt,
                           Question question,
                           int asked) {
  settler_.Settle(
      server, attempt, question, kTimeout,
      [this, server, attempt, question, asked](calls::AttemptStatus answer) {
        if (answer != calls::AttemptStatus::kNoAnswer)
          return;
        sender_.Drop(attempt);
        if (asked + 1 < kMostQuestions)
          Ask(server, attempt, question, asked + 1);
      });
}

}  // namespace chestnutport::ingress
