/* site_http.h - HTTP requests of a test, each performed in its own thread.

   Needs: libcurl, jansson, pthreads, talloc.  */

#ifndef SITE_HTTP_H
#define SITE_HTTP_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/**
 * struct site_http_request - an HTTP request
 * @method: NULL for GET, or POST if there is a body
 * @address: "IP:PORT"
 * @path: path and query
 * @key: bearer token; NULL if none
 * @idempotency_key: NULL if none
 * @body: NULL if none
 * @stalled: stop reading after the first bytes of the response, until
 *           site_call_resume
 */
struct site_http_request
{
  const char *method;
  const char *address;
  const char *path;
  const char *key;
  const char *idempotency_key;
  const char *body;
  bool stalled;
};

struct site_call;

/* Freeing the call aborts the request if it is still active.  */
struct site_call *site_call_start (TALLOC_CTX *ctx,
                                   const struct site_http_request *request);
bool site_call_done (struct site_call *call);
/* Returns true if the body received so far contains TEXT.  */
bool site_call_contains (struct site_call *call, const char *text);
void site_call_resume (struct site_call *call);
/* HTTP status; 0 if the response is incomplete.  Valid once done.  */
long site_call_status (struct site_call *call);
const char *site_call_body (struct site_call *call);
/* Borrowed reference to the body as JSON; NULL if it is not JSON.  */
json_t *site_call_json (struct site_call *call);
/* Performs a request and waits for its end.  */
struct site_call *site_call (TALLOC_CTX *ctx,
                             const struct site_http_request *request);

#endif
