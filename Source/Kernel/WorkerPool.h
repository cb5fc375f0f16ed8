#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <thread>
#include <vector>

namespace Guavalock
{

/// A fixed-size thread pool that runs the handlers of one Asio io_context.
///
/// Idle threads block in the operating system. Stop the pool before destroying the objects that its operations refer to, and
/// destroy the pool after them.
class WorkerPool
{
public:
    using Executor = boost::asio::io_context::executor_type;

    /// Starts the given number of workers; zero means one per processor.
    explicit WorkerPool(std::size_t workers);
    ~WorkerPool();

    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    Executor executor();

    std::size_t size() const;

    /// Stops and joins the workers, then destroys all operations that are still suspended.
    void stop();

private:
    /// Exposes the protected shutdown step of io_context, which destroys suspended operations.
    class Context : public boost::asio::io_context
    {
    public:
        explicit Context(int threads);
        void destroySuspended();
    };

    Context m_context;
    boost::asio::executor_work_guard<Executor> m_guard;
    std::vector<std::thread> m_threads;
};

} // namespace Guavalock
