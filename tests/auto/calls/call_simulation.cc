#include "call_simulation.h"

#include <algorithm>
#include <utility>

namespace chestnutport::test {
namespace {

using admission::AttemptState;
using base::ErrorKind;
using calls::AttemptStatus;
using calls::AttemptVerdict;
using calls::Step;

constexpr size_t kNodes = 3;
constexpr milliseconds kDeadline(120);
constexpr milliseconds kTick(20);

base::AttemptId IdOf(size_t request, int attempt) {
  return {request + 1, static_cast<uint64_t>(attempt) + 1};
}

std::unique_ptr<admission::AdmissionController> NewAdmission() {
  admission::AdmissionOptions options;
  options.slots = 1;
  options.queue = 2;
  return std::make_unique<admission::AdmissionController>(options);
}

AttemptStatus ToStatus(AttemptState state) {
  switch (state) {
    case AttemptState::kNeverRuns:
      return AttemptStatus::kNeverRuns;
    case AttemptState::kQueued:
      return AttemptStatus::kQueued;
    case AttemptState::kRunning:
      return AttemptStatus::kRunning;
    case AttemptState::kFinished:
      return AttemptStatus::kFinished;
    case AttemptState::kUnknown:
      break;
  }
  return AttemptStatus::kUnknownHere;
}

}  // namespace

CallSimulation::CallSimulation(Defect defect)
    : defect_(defect), nodes_(kNodes) {
  for (Node& node : nodes_)
    node.admission = NewAdmission();
}

Violations CallSimulation::Run(const std::vector<Event>& events) {
  for (const Event& event : events)
    ApplyEvent(event);
  for (Node& node : nodes_)
    node.is_frozen = false;
  AdvanceTime(kDeadline + kTick);
  while (!link_.empty())
    Deliver(*TakeMessage(0));
  Violations violations;
  for (const Request& request : requests_) {
    violations.ran_twice |= !request.is_repeatable && request.runs > 1;
    violations.false_not_run |= request.reported_not_run && request.runs > 0;
    violations.wrong_answer_count |=
        request.answers != (request.has_caller_gone ? 0 : 1);
  }
  violations.misrouted_answer = is_misrouted_;
  return violations;
}

void CallSimulation::ApplyEvent(const Event& event) {
  Node& node = nodes_[event.pick % kNodes];
  switch (event.kind) {
    case EventKind::kArrive:
      Arrive(event.pick % 2 == 0);
      return;
    case EventKind::kDeliver:
      if (const auto message = TakeMessage(event.pick))
        Deliver(*message);
      return;
    case EventKind::kDropMessage:
      TakeMessage(event.pick);
      return;
    case EventKind::kDuplicate:
      if (link_.empty())
        return;
      link_.push_back(link_[event.pick % link_.size()]);
      link_.back().is_duplicate = true;
      return;
    case EventKind::kLoseConnection: {
      if (requests_.empty())
        return;
      const size_t at = event.pick % requests_.size();
      const int last = requests_[at].call->attempts() - 1;
      const auto verdict = defect_ == Defect::kLostMeansNotOpened
                               ? AttemptVerdict::kNotSent
                               : AttemptVerdict::kLost;
      RunSteps(at, requests_[at].call->OnAttemptEnd(last, {verdict}, now_));
      return;
    }
    case EventKind::kFinish:
      Finish(node, event.pick);
      return;
    case EventKind::kFreeze:
      node.is_frozen = true;
      return;
    case EventKind::kResume:
      node.is_frozen = false;
      return;
    case EventKind::kReplace:
      Replace(node);
      return;
    case EventKind::kCallerDisconnects: {
      if (requests_.empty())
        return;
      const size_t at = event.pick % requests_.size();
      if (requests_[at].call->IsOver())
        return;
      requests_[at].has_caller_gone = true;
      RunSteps(at, requests_[at].call->OnCallerDisconnected(now_));
      return;
    }
    case EventKind::kAdvanceTime:
    case EventKind::kCount:
      AdvanceTime(kTick);
      return;
  }
}

void CallSimulation::Arrive(bool is_repeatable) {
  calls::CallPolicy policy;
  policy.is_repeatable = is_repeatable;
  policy.hedge_delay = milliseconds(30);
  policy.status_query_delay = milliseconds(25);
  Request request;
  request.is_repeatable = is_repeatable;
  request.call = std::make_unique<calls::Call>(policy, now_, now_ + kDeadline,
                                               budgets_.All());
  requests_.push_back(std::move(request));
  RunSteps(requests_.size() - 1, requests_.back().call->Start(now_));
}

void CallSimulation::RunSteps(size_t at, const calls::NextSteps& steps) {
  Request& request = requests_[at];
  for (const calls::NextStep& step : steps) {
    switch (step.step) {
      case Step::kSend: {
        const size_t node = (at + step.attempt) % kNodes;
        request.sent_to.emplace_back(node, nodes_[node].incarnation);
        link_.push_back({MessageKind::kAttempt, at, step.attempt, node,
                         nodes_[node].incarnation});
        break;
      }
      case Step::kQueryStatus:
        SendStatusQuery(at, step.attempt, false);
        break;
      case Step::kCancel:
      case Step::kAbandon:
        SendStatusQuery(at, step.attempt, true);
        break;
      case Step::kCloseConnection:
        break;
      case Step::kRelayAnswer:
        ++request.answers;
        break;
      case Step::kAnswerError:
        ++request.answers;
        request.reported_not_run =
            base::AnswerTo(step.error).outcome == base::Outcome::kNotRun;
        break;
    }
  }
}

void CallSimulation::SendStatusQuery(size_t at, int attempt, bool cancel) {
  const auto& [node, incarnation] = requests_[at].sent_to[attempt];
  link_.push_back(
      {MessageKind::kStatusQuery, at, attempt, node, incarnation, cancel});
}

void CallSimulation::Deliver(const Message& message) {
  Request& request = requests_[message.call];
  switch (message.kind) {
    case MessageKind::kAttempt:
    case MessageKind::kStatusQuery:
      // Messages to a frozen node stay in the link. A duplicate is a copy of a
      // message that was already received, so it does not overtake the
      // original.
      if (nodes_[message.node].is_frozen || OvertakesOriginal(message))
        link_.push_back(message);
      else if (message.kind == MessageKind::kAttempt)
        DeliverAttempt(message);
      else
        DeliverStatusQuery(message);
      return;
    case MessageKind::kAttemptReply: {
      if (message.is_duplicate && defect_ != Defect::kAcceptsDuplicates)
        return;
      size_t to = message.call;
      if (defect_ == Defect::kAnswersMisrouted && link_.size() % 7 == 0)
        to = (to + 1) % requests_.size();
      const bool was_open = !requests_[to].call->IsOver();
      if (message.attempt >= requests_[to].call->attempts())
        return;
      RunSteps(to, requests_[to].call->OnAttemptEnd(message.attempt,
                                                    message.end, now_));
      is_misrouted_ |=
          was_open && to != message.call && requests_[to].call->IsOver();
      return;
    }
    case MessageKind::kStatusReply:
      RunSteps(message.call,
               request.call->OnStatusReply(message.attempt, message.state,
                                           message.cancel, now_));
      return;
  }
}

bool CallSimulation::OvertakesOriginal(const Message& message) const {
  return message.is_duplicate &&
         std::ranges::any_of(link_, [&](const Message& other) {
           return !other.is_duplicate && other.kind == message.kind &&
                  other.call == message.call &&
                  other.attempt == message.attempt;
         });
}

void CallSimulation::DeliverAttempt(const Message& message) {
  Node& node = nodes_[message.node];
  Message answer = message;
  answer.kind = MessageKind::kAttemptReply;
  if (node.incarnation != message.incarnation) {
    answer.end = {AttemptVerdict::kRefused, ErrorKind::kStaleTarget};
    link_.push_back(answer);
    return;
  }
  admission::Arrival arrival;
  arrival.attempt = IdOf(message.call, message.attempt);
  arrival.deadline = now_ + kDeadline;
  if (node.arrived.emplace(arrival.attempt, message).second) {
    Perform(node, node.admission->Arrive(arrival, now_));
    return;
  }
  answer.end = {AttemptVerdict::kLost, ErrorKind::kDuplicateAttempt};
  link_.push_back(answer);
}

void CallSimulation::DeliverStatusQuery(const Message& message) {
  Node& node = nodes_[message.node];
  const base::AttemptId id = IdOf(message.call, message.attempt);
  Message answer = message;
  answer.kind = MessageKind::kStatusReply;
  if (node.incarnation != message.incarnation) {
    if (defect_ == Defect::kStaleTargetMeansNotRun)
      answer.state = AttemptStatus::kNeverRuns;
  } else if (!message.cancel) {
    answer.state = node.arrived.contains(id) ? AttemptStatus::kRunning
                                             : AttemptStatus::kUnknownHere;
  } else if (defect_ == Defect::kCancelForgotten &&
             !node.arrived.contains(id)) {
    answer.state = AttemptStatus::kNeverRuns;
  } else {
    const AttemptState state = node.admission->Cancel(id, now_);
    answer.state = state == AttemptState::kQueued ? AttemptStatus::kNeverRuns
                                                  : ToStatus(state);
  }
  link_.push_back(answer);
}

void CallSimulation::Perform(Node& node,
                             const admission::AdmissionActions& actions) {
  for (const auto& action : actions) {
    const Message attempt = node.arrived.at(action.attempt);
    if (action.kind == admission::ActionKind::kStart) {
      ++requests_[attempt.call].runs;
      node.running.push_back(attempt);
      continue;
    }
    const bool is_not_run =
        base::AnswerTo(action.error).outcome == base::Outcome::kNotRun;
    Message answer = attempt;
    answer.kind = MessageKind::kAttemptReply;
    answer.end = {is_not_run ? AttemptVerdict::kRefused : AttemptVerdict::kLost,
                  action.error};
    link_.push_back(answer);
  }
}

void CallSimulation::Finish(Node& node, uint32_t pick) {
  if (node.is_frozen || node.running.empty())
    return;
  const auto at = node.running.begin() + pick % node.running.size();
  Message answer = *at;
  node.running.erase(at);
  answer.kind = MessageKind::kAttemptReply;
  answer.end = {pick % 5 == 0 ? AttemptVerdict::kFailed
                              : AttemptVerdict::kAnswered};
  link_.push_back(answer);
  Perform(node,
          node.admission->Finish(IdOf(answer.call, answer.attempt), now_));
}

void CallSimulation::Replace(Node& node) {
  ++node.incarnation;
  node.is_frozen = false;
  node.running.clear();
  node.arrived.clear();
  node.admission = NewAdmission();
}

void CallSimulation::AdvanceTime(base::Duration time) {
  now_ += time;
  for (size_t at = 0; at < requests_.size(); ++at) {
    Request& request = requests_[at];
    while (!request.call->IsOver() && request.call->next_timer() <= now_) {
      if (defect_ == Defect::kAnswersAtDeadline &&
          now_ >= request.call->deadline()) {
        ++request.answers;
      }
      RunSteps(at, request.call->OnTimer(now_));
    }
  }
  for (Node& node : nodes_) {
    if (!node.is_frozen)
      Perform(node, node.admission->Tick(now_));
  }
}

std::optional<CallSimulation::Message> CallSimulation::TakeMessage(
    uint32_t pick) {
  if (link_.empty())
    return std::nullopt;
  const auto at = link_.begin() + pick % link_.size();
  const Message message = *at;
  link_.erase(at);
  return message;
}

}  // namespace chestnutport::test
