// Token bucket in which less urgent requests leave part of the burst to more
// urgent ones. Reads no clock.
#ifndef ADMISSION_TOKEN_BUCKET_H_
#define ADMISSION_TOKEN_BUCKET_H_

#include "base/time.h"

namespace chestnutport::admission {

class TokenBucket {
 public:
  // Ranks of urgency that are distinguished; 0 is the most urgent.
  static constexpr int kRankCount = 4;

  // Sets the tokens earned per second and the most that are kept, at least one.
  // Tokens above the new capacity are lost.
  void Configure(double rate, double capacity);
  void Fill(base::Instant now);
  // Adds what was earned so far. Call before the rate is changed.
  void Settle(base::Instant now);
  // Takes one token. The number may become negative, but not less than `least`.
  void Consume(double least, base::Instant now);

  double rate() const { return rate_; }
  double TokensAt(base::Instant now) const;
  // Returns the time until the last of `requests` of this rank may be sent, one
  // after the other. The rate must be greater than zero.
  base::Duration TimeUntilAllowed(double requests,
                                  int rank,
                                  base::Instant now) const;

 private:
  // Returns the number of tokens that a rank leaves to more urgent ranks.
  double ReservedTokens(int rank) const;

  double rate_ = 0;
  double capacity_ = 1;
  double tokens_ = 0;  // At `updated_at_`.
  base::Instant updated_at_;
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_TOKEN_BUCKET_H_
