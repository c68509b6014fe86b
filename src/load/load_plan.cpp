#include "load/load_plan.hpp"

#include <cstdlib>
#include <sstream>

namespace coriander {

result<std::vector<load_customer>> parse_customers(const std::string& text)
{
    std::vector<load_customer> customers;
    std::istringstream list{text};
    for (std::string item; std::getline(list, item, ',');) {
        std::istringstream fields{item};
        load_customer customer;
        std::string share;
        std::getline(fields, customer.name, ':');
        std::getline(fields, customer.api_key, ':');
        std::getline(fields, share, ':');
        customer.share = share.empty() ? 1.0 : std::strtod(share.c_str(), nullptr);
        if (customer.name.empty() || customer.api_key.empty() || customer.share <= 0.0) {
            return fail(error_kind::invalid_input,
                        "a customer must be written as NAME:KEY or NAME:KEY:SHARE, not '" + item + "'");
        }
        customers.push_back(std::move(customer));
    }
    if (customers.empty()) {
        return fail(error_kind::invalid_input, "give at least one customer");
    }
    return customers;
}

} // namespace coriander
