/* ctl.h - blocking calls of a command line tool to the platform and to the
   hosts of a site.

   Runs the event loop until a call has ended; many hosts are asked side by
   side.
   Needs: http_client.h, platform.h, tevent.  */

#ifndef MQ_CTL_H
#define MQ_CTL_H

#include "core/host.h"
#include "core/store.h"
#include "net/http_client.h"

struct mq_ctl;

/**
 * struct mq_ctl_options - fixed for the life of the tool
 * @platform: "http://IP:PORT" of the platform, NULL: only hosts are asked
 * @operator_key: sent as a bearer token to hosts, NULL: none
 * @host_timeout_ms: a host that takes longer is unreachable
 */
struct mq_ctl_options
{
  const char *platform;
  const char *operator_key;
  uint32_t host_timeout_ms;
};

/**
 * struct mq_ctl_fetch - one request to a host and its answer
 * @method: "GET" or "POST"
 * @address: "IP:PORT" of the host
 * @path: begins with /
 * @error: out: NONE when a whole answer came, with any status
 * @status: out: HTTP status
 * @body: out: answer, zero-terminated, NULL when none came
 */
struct mq_ctl_fetch
{
  const char *method;
  const char *address;
  const char *path;
  enum mq_error_type error;
  int status;
  char *body;
};

struct mq_ctl *mq_ctl_create (TALLOC_CTX *ctx,
                              const struct mq_ctl_options *options,
                              struct mq_error *error);
void mq_ctl_destroy (struct mq_ctl *ctl);
/* Result below CTX.  */
struct mq_store_result *
mq_ctl_store_send (struct mq_ctl *ctl, TALLOC_CTX *ctx,
                   const struct mq_store_request *request);
/* The platform's list below CTX; NULL with STORE_DOWN in ERROR.  */
struct mq_host_list *mq_ctl_hosts (struct mq_ctl *ctl, TALLOC_CTX *ctx,
                                   struct mq_error *error);
/* Asks all of them, bodies below CTX.  */
void mq_ctl_fetch (struct mq_ctl *ctl, TALLOC_CTX *ctx,
                   struct mq_ctl_fetch *fetches, size_t count);
void mq_ctl_sleep (struct mq_ctl *ctl, uint32_t ms);

#endif
