#pragma once

#include "core/json_text.hpp"
#include "net/http_call_runner.hpp"

#include <string>
#include <utility>
#include <vector>

namespace coriander::standin {

/// Keeps the list of entry hosts. Used on the event loop's thread only.
class entry_host_resolver {
public:
    entry_host_resolver(http_call_runner& calls, std::vector<std::string> directories)
        : calls{calls}, directories{std::move(directories)}
    {
    }

    /// Asks the directories one after the other until one of them answers.
    void resolve(std::size_t next = 0)
    {
        if (next == this->directories.size()) {
            return; // No directory answered: keeps the known addresses.
        }
        loop_call call;
        call.address = this->directories[next];
        call.target = "/resolve?name=desk.example&region=r&zone=z";
        this->calls.start(call, [this, next](const http_result& answer) {
            const auto parsed = parse_object(answer.body);
            const auto found =
                parsed ? parsed->value("addresses", std::vector<std::string>{}) : std::vector<std::string>{};
            if (answer.ok() && !found.empty()) {
                this->addresses = found;
            }
            else {
                this->resolve(next + 1);
            }
        });
    }

    std::vector<std::string> addresses;

private:
    http_call_runner& calls;
    std::vector<std::string> directories;
};

} // namespace coriander::standin
