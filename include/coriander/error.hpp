#pragma once

#include <boost/outcome.hpp>

#include <string>
#include <utility>

namespace coriander {

/// What went wrong, as far as a caller can act on it.
enum class error_kind {
    invalid_input,
    not_found,
    conflict,
    unavailable,     ///< Surely without effect.
    outcome_unknown, ///< May have taken effect.
    malformed,       ///< The other side broke its contract.
};

/// An error with a text for people.
struct error {
    error_kind kind = error_kind::unavailable;
    std::string message;
};

/// A value or an `error`. Check it before reading the value.
template <typename T>
using result = boost::outcome_v2::unchecked<T, error>;

/// Makes the failing side of a `result`.
[[nodiscard]] inline auto fail(error_kind kind, std::string message)
{
    return boost::outcome_v2::failure(error{kind, std::move(message)});
}

} // namespace coriander
