// For whom a request is made.
#ifndef INGRESS_CALL_ORIGIN_H_
#define INGRESS_CALL_ORIGIN_H_

namespace chestnutport::ingress {

enum class CallOrigin {
  kCaller,
  kNested,  // The local server makes it for a request that this node sent to
            // it.
  // Named like a nested call, but of no request that this node has sent.
  kNestedByName,
};

}  // namespace chestnutport::ingress

#endif  // INGRESS_CALL_ORIGIN_H_
