#include "Net/DisconnectWatch.h"

#include "Net/SocketState.h"

#include <boost/asio/bind_executor.hpp>

namespace Guavalock
{

namespace Asio = boost::asio;

DisconnectWatch::DisconnectWatch(Asio::ip::tcp::socket &socket, Handler onClosed)
    : m_state(std::make_shared<State>(State{socket, std::move(onClosed)}))
{
    wait(m_state);
}

DisconnectWatch::~DisconnectWatch()
{
    m_state->active = false;
    boost::system::error_code ignored;
    m_state->socket.cancel(ignored);
}

void DisconnectWatch::wait(const std::shared_ptr<State> &state)
{
    auto onReadable = [state](const boost::system::error_code &ec) {
        if (ec || !state->active) {
            return;
        }
        switch (socketState(state->socket)) {
        case SocketState::Closed:
            state->onClosed();
            break;
        case SocketState::Idle:
            // Another thread may report the arrival of the request itself after the request has been read.
            wait(state);
            break;
        case SocketState::Readable:
            // A further wait would end at once. The next request is read after the response.
            break;
        }
    };
    state->socket.async_wait(Asio::ip::tcp::socket::wait_read, Asio::bind_executor(state->socket.get_executor(), std::move(onReadable)));
}

} // namespace Guavalock
