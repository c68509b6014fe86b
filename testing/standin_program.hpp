#pragma once

#include "http/http_server.hpp"

#include <cstdint>
#include <string>

namespace coriander {

/// Prints the line that scripts wait for: `listening NAME IP:PORT`.
void print_listening_line(const std::string& name, const std::string& address, std::uint16_t port);

/// Sends a response with a JSON body.
void send_json(http_reply& reply, int status, const std::string& body);

/// Writes the port to a file, for scripts that let the system choose the port. Does nothing if the path is
/// empty.
void write_port_file(const std::string& path, std::uint16_t port);

} // namespace coriander
