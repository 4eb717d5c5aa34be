/* site_http.h - callers of a site: blocking HTTP, each in a thread.

   Needs: libcurl, jansson, pthreads, talloc.  */

#ifndef SITE_HTTP_H
#define SITE_HTTP_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/**
 * struct site_http_request - one HTTP request
 * @method: NULL: GET, or POST with a body
 * @address: "IP:PORT"
 * @path: with its query
 * @key: bearer token, NULL: none
 * @idempotency_key: NULL: none
 * @body: NULL: none
 * @stalled: reads nothing after the first bytes of the answer, until
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

/* CTX frees it, after its request has ended or was broken off.  */
struct site_call *site_call_start (TALLOC_CTX *ctx,
                                   const struct site_http_request *ask);
bool site_call_done (struct site_call *call);
/* Whether what has come so far of the body holds TEXT.  */
bool site_call_contains (struct site_call *call, const char *text);
void site_call_resume (struct site_call *call);
/* HTTP status; 0 when there was no whole answer.  After its end only.  */
long site_call_status (struct site_call *call);
const char *site_call_body (struct site_call *call);
/* The body as JSON, borrowed; NULL when it is none.  */
json_t *site_call_json (struct site_call *call);
/* Starts it and waits for its end.  */
struct site_call *site_call (TALLOC_CTX *ctx,
                             const struct site_http_request *ask);

#endif
