// Whether a request brought the key that its route requires.
#ifndef INGRESS_KEY_CHECK_H_
#define INGRESS_KEY_CHECK_H_

namespace chestnutport::ingress {

enum class KeyCheck {
  kNotRequired,  // The route is public, or no tenants are declared.
  kKnown,
  kMissing,
  kUnknown,
};

}  // namespace chestnutport::ingress

#endif  // INGRESS_KEY_CHECK_H_
