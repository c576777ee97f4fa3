// Token bucket that limits retries to a share of the calls.
#ifndef CALLS_RETRY_BUDGET_H_
#define CALLS_RETRY_BUDGET_H_

namespace chestnutport::calls {

class RetryBudget {
 public:
  // Allows `share` retries per call, and saves up to `burst`. Starts full.
  RetryBudget(double share, double burst);
  // Returns a budget that starts empty, so that a node that restarts repeatedly
  // gets no more retries than one that keeps running.
  static RetryBudget Empty(double share, double burst);

  void OnCall();
  // Takes one retry from the budget. Returns false if none is left.
  bool TryTake();

  void set_share(double share) { share_ = share; }
  void set_burst(double burst);

 private:
  double share_;
  double burst_;
  double tokens_;
};

}  // namespace chestnutport::calls

#endif  // CALLS_RETRY_BUDGET_H_
