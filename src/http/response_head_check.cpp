#include "http/response_head_check.hpp"

#include <algorithm>
#include <utility>

namespace coriander {
namespace {

/// Whether a field's name may contain the character (`tchar` in RFC 9110, section 5.6.2).
bool is_name_character(char byte) noexcept
{
    const bool is_alphanumeric =
        (byte >= '0' && byte <= '9') || (byte >= 'A' && byte <= 'Z') || (byte >= 'a' && byte <= 'z');
    return is_alphanumeric || std::string_view{"!#$%&'*+-.^_`|~"}.find(byte) != std::string_view::npos;
}

} // namespace

bool response_head_check::accept(std::string_view bytes) noexcept
{
    return std::all_of(bytes.begin(), bytes.end(), [this](char byte) { return this->accept_byte(byte); });
}

bool response_head_check::accept_byte(char byte) noexcept
{
    const char before = std::exchange(this->previous, byte);
    if (byte == '\n') {
        return this->end_line(before == '\r');
    }
    if (before == '\r') {
        return false;
    }
    if (byte == '\r') {
        return this->at != place::name;
    }
    switch (this->at) {
    case place::before_head:
        this->at = place::start_line;
        return true;
    case place::line_begin:
        this->at = place::name;
        return is_name_character(byte);
    case place::name:
        this->at = byte == ':' ? place::value : place::name;
        return byte == ':' || is_name_character(byte);
    case place::start_line:
    case place::value:
        return true;
    }
    return true;
}

bool response_head_check::end_line(bool has_carriage_return) noexcept
{
    if (this->at == place::name) {
        return false;
    }
    const bool is_empty = this->at == place::before_head || this->at == place::line_begin;
    this->at = is_empty ? place::before_head : place::line_begin;
    const bool is_expected =
        this->ends_with_carriage_return.value_or(has_carriage_return) == has_carriage_return;
    this->ends_with_carriage_return = has_carriage_return;
    return is_expected;
}

} // namespace coriander
