#pragma once

#include <boost/outcome.hpp>

#include <string>
#include <utility>

namespace coriander {

/// The kind of an error, as far as callers can act on it.
enum class error_kind {
    invalid_input,
    not_found,
    conflict,
    unavailable,     ///< Guaranteed to have had no effect.
    outcome_unknown, ///< May have taken effect.
    malformed,       ///< The response violated the protocol.
};

/// An error with a human-readable message.
struct error {
    error_kind kind = error_kind::unavailable;
    std::string message;
};

/// A value or an `error`. Reading the value without a check is undefined behaviour.
template <typename T>
using result = boost::outcome_v2::unchecked<T, error>;

/// Makes a failed `result`.
[[nodiscard]] inline auto fail(error_kind kind, std::string message)
{
    return boost::outcome_v2::failure(error{kind, std::move(message)});
}

} // namespace coriander
