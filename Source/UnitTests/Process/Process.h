#pragma once

/// Child processes of tests.

#include <optional>
#include <string>
#include <sys/types.h>
#include <utility>
#include <vector>

namespace ProcessTests {

/// Owns one child process; the destructor kills it and waits for it.
class Process {
public:
    /// Starts the program at this path; its standard output and error are appended to the file `log`. Throws std::runtime_error when
    /// the program can't be started.
    static Process create(const std::string& program, const std::vector<std::string>& arguments, const std::string& log);

    Process() = default;
    Process(Process&& other) noexcept { *this = std::move(other); }
    Process& operator=(Process&&) noexcept;
    ~Process();

    /// No effect without a process.
    void signal(int number) const;
    /// Sends SIGKILL and waits until the process has ended; no effect without a process.
    void kill();
    /// Waits up to 60 s for the process to exit. Nothing when a signal ended it or it is still running.
    std::optional<int> exitCode();

private:
    pid_t m_pid = 0; ///< Zero without a process.
};

} // namespace ProcessTests
