/* ctl.h - blocking calls of a command line tool to the platform and to the
   hosts of a site.

   Each call runs the event loop until it completes.  Requests to several
   hosts run concurrently.
   Needs: http_client.h, platform.h, tevent.  */

#ifndef MQ_CTL_H
#define MQ_CTL_H

#include "core/host.h"
#include "core/store.h"
#include "net/http_client.h"

struct mq_ctl;

/**
 * struct mq_ctl_options - connection options
 * @platform: "http://IP:PORT" of the platform; NULL if only hosts are called
 * @operator_key: bearer token sent to hosts; NULL for none
 * @host_timeout_ms: timeout of a request to a host
 */
struct mq_ctl_options
{
  const char *platform;
  const char *operator_key;
  uint32_t host_timeout_ms;
};

/**
 * struct mq_ctl_fetch - one request to a host and its response
 * @method: "GET" or "POST"
 * @address: "IP:PORT" of the host
 * @path: starts with /
 * @error: out: MQ_ERR_NONE if a complete response arrived, whatever its status
 * @status: out: HTTP status
 * @body: out: response body, zero-terminated; NULL if none arrived
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
/* Sends REQUEST to the platform's table; the result is a child of CTX.  */
struct mq_store_result *
mq_ctl_store_send (struct mq_ctl *ctl, TALLOC_CTX *ctx,
                   const struct mq_store_request *request);
/* Returns the platform's host list as a child of CTX, or NULL with
   MQ_ERR_STORE_DOWN in ERROR.  */
struct mq_host_list *mq_ctl_hosts (struct mq_ctl *ctl, TALLOC_CTX *ctx,
                                   struct mq_error *error);
/* Sends all FETCHES concurrently and waits for them; the bodies are children
   of CTX.  */
void mq_ctl_fetch (struct mq_ctl *ctl, TALLOC_CTX *ctx,
                   struct mq_ctl_fetch *fetches, size_t count);
void mq_ctl_sleep (struct mq_ctl *ctl, uint32_t ms);

#endif
