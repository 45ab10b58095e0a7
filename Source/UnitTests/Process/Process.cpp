#include "Process/Process.h"

#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace ProcessTests {

namespace {

    constexpr std::chrono::seconds endBound { 60 };
    constexpr std::chrono::milliseconds pollInterval { 5 };
    constexpr mode_t logMode = 0600;

} // namespace

Process Process::create(const std::string& program, const std::vector<std::string>& arguments, const std::string& log)
{
    std::vector<char*> list { const_cast<char*>(program.c_str()) };
    for (const auto& it : arguments)
        list.push_back(const_cast<char*>(it.c_str()));
    list.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, logMode);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    Process process;
    const int ec = posix_spawn(&process.m_pid, program.c_str(), &files, nullptr, list.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    if (ec) {
        process.m_pid = 0;
        throw std::runtime_error("can't start " + program);
    }
    return process;
}

Process& Process::operator=(Process&& other) noexcept
{
    std::swap(m_pid, other.m_pid);
    return *this;
}

Process::~Process()
{
    kill();
}

void Process::signal(int number) const
{
    if (m_pid)
        ::kill(m_pid, number);
}

void Process::kill()
{
    if (!m_pid)
        return;
    ::kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = 0;
}

std::optional<int> Process::exitCode()
{
    const auto bound = std::chrono::steady_clock::now() + endBound;
    int status = 0;
    while (m_pid && std::chrono::steady_clock::now() < bound) {
        if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = 0;
            return WIFEXITED(status) ? std::optional<int>(WEXITSTATUS(status)) : std::nullopt;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return std::nullopt;
}

} // namespace ProcessTests
