#include "programs/sidecar/sidecar_context.h"

namespace citronseam {

void fetch_on_control(sidecar_context& context, http_request request, std::size_t max_body_size,
                      std::function<void(const http_response&)> on_response) {
    fetch_on_control(context, context.http, std::move(request), max_body_size,
                     std::move(on_response));
}

void fetch_on_control(sidecar_context& context, http_client& http, http_request request,
                      std::size_t max_body_size,
                      std::function<void(const http_response&)> on_response) {
    http.fetch(
        std::move(request), max_body_size,
        [&control = context.control, on_response = std::move(on_response)](http_response response) {
            control.post([on_response, response = std::move(response)] { on_response(response); });
        });
}

} // namespace citronseam
