#pragma once

#include "http/http_server.hpp"

#include <cstdint>
#include <string>

namespace coriander {

/// Prints the line that scripts wait for: `listening NAME IP:PORT`.
void announce(const std::string& name, const std::string& address, std::uint16_t port);

/// Answers with JSON text.
void send_json(http_reply& reply, int status, const std::string& body);

/// Writes the port into a file, for scripts that let the system choose it. Does nothing without a path.
void write_port_file(const std::string& path, std::uint16_t port);

} // namespace coriander
