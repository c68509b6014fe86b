#include "load/load_plan.hpp"

#include <cstdlib>
#include <sstream>

namespace coriander {

result<std::vector<load_customer>> parse_customers(const std::string& text)
{
    std::vector<load_customer> customers;
    std::istringstream list{text};
    for (std::string item; std::getline(list, item, ',');) {
        std::istringstream parts{item};
        load_customer one;
        std::string share;
        std::getline(parts, one.name, ':');
        std::getline(parts, one.api_key, ':');
        std::getline(parts, share, ':');
        one.share = share.empty() ? 1.0 : std::strtod(share.c_str(), nullptr);
        if (one.name.empty() || one.api_key.empty() || one.share <= 0.0) {
            return fail(error_kind::invalid_input,
                        "a customer must be written as NAME:KEY or NAME:KEY:SHARE, not '" + item + "'");
        }
        customers.push_back(std::move(one));
    }
    if (customers.empty()) {
        return fail(error_kind::invalid_input, "give at least one customer");
    }
    return customers;
}

} // namespace coriander
