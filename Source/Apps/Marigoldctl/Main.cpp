/// marigoldctl: the command line tool for operators. `marigoldctl help` lists the exit codes.

#include "Application.h"
#include "CurlTransport.h"
#include "HttpApiClient.h"

#include <csignal>
#include <iostream>
#include <string>
#include <vector>

namespace {

Ctl::ExitCode run(const std::vector<std::string>& arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    auto transport = Ctl::CurlTransport::create();
    if (!transport) {
        std::cerr << "marigoldctl: " << transport.error().what() << "\n";
        return transport.error().code();
    }
    const auto makeClient = [&](const Ctl::Options& options) -> std::unique_ptr<Ctl::ApiClient> {
        auto client = Ctl::HttpApiClient::create({ options.servers, options.token }, *transport.value());
        if (!client)
            throw client.error();
        return client.take();
    };
    Ctl::SystemClock clock;
    Ctl::Application application({ makeClient, clock, std::cout, std::cerr });
    return application.run(arguments);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return static_cast<int>(run({ argv + 1, argv + argc }));
    } catch (...) {
        return static_cast<int>(Ctl::ExitCode::Failed);
    }
}
