// A value or a std::error_code. Boost.Outcome stands in for std::expected,
// which the linter of the supported platform does not accept.
#ifndef BASE_RESULT_H_
#define BASE_RESULT_H_

#include <boost/outcome/std_result.hpp>

#include "base/error_kind.h"

namespace chestnutport::base {

template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::std_result<T>;

}  // namespace chestnutport::base

#endif  // BASE_RESULT_H_
