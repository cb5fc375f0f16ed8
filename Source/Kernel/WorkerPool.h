#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <thread>
#include <vector>

namespace Guavalock
{

/// A fixed number of threads that run the handlers of one Asio io_context.
///
/// A thread without work blocks in the kernel. Stop the pool before the objects that its operations refer to are destroyed, and
/// destroy it after them.
class WorkerPool
{
public:
    using Executor = boost::asio::io_context::executor_type;

    /// Starts the given number of workers; zero means one for each processor.
    explicit WorkerPool(std::size_t workers);
    ~WorkerPool();

    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    Executor executor();

    std::size_t size() const;

    /// Waits for the workers to return, then frees every operation that is still suspended.
    void stop();

private:
    /// Gives access to the step of the context's destruction that frees suspended operations.
    class Context : public boost::asio::io_context
    {
    public:
        explicit Context(int threads);
        void freeSuspended();
    };

    Context m_context;
    boost::asio::executor_work_guard<Executor> m_guard;
    std::vector<std::thread> m_threads;
};

} // namespace Guavalock
