#include "standin_program.hpp"

#include <fstream>
#include <iostream>

namespace coriander {

void print_listening_line(const std::string& name, const std::string& address, std::uint16_t port)
{
    std::cout << "listening " << name << " " << address << ":" << port
              << std::endl; // NOLINT(performance-avoid-endl)
}

void send_json(http_reply& reply, int status, const std::string& body)
{
    reply.send({status, "application/json", body, {}});
}

void write_port_file(const std::string& path, std::uint16_t port)
{
    if (!path.empty()) {
        std::ofstream{path} << port << "\n";
    }
}

} // namespace coriander
