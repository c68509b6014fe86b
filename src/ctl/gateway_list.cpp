#include "ctl/gateway_list.hpp"

#include "http/http_client.hpp"

#include <iostream>

namespace coriander {

exit_code list_gateways(const std::string& address)
{
    http_client client;
    http_call call;
    call.url = "http://" + address + "/gateways";
    const auto answer = client.perform(std::move(call));
    if (!answer.ok()) {
        std::cerr << "corianderctl: no list from " << address << ": "
                  << (answer.message.empty() ? "status " + std::to_string(answer.status) : answer.message)
                  << "\n";
        return exit_code::unavailable;
    }
    std::cout << answer.body;
    return exit_code::ok;
}

} // namespace coriander
