/* platform.h - HTTP client of the platform's table, object store and host
   list.

   Sends the store requests of the cores and polls the list of hosts.
   docs/CONTRACTS.md is the reference.
   Needs: http_client.h, store.h, host.h, jansson, gnutls (base64).  */

#ifndef MQ_PLATFORM_H
#define MQ_PLATFORM_H

#include "core/host.h"
#include "core/store.h"
#include "net/http_client.h"

struct mq_platform;

typedef void mq_platform_result_handler (const struct mq_store_result *result,
                                         void *user);
typedef void mq_platform_hosts_handler (const struct mq_host_list *hosts,
                                        void *user);

/* URL: "http://IP:PORT".  CLIENT must outlive the platform.  */
struct mq_platform *
mq_platform_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                    struct mq_http_client *client, const char *url,
                    mq_platform_result_handler *stored, void *user);
void mq_platform_destroy (struct mq_platform *platform);
/* Sends a copy of REQUEST.  The result is passed to STORED, never from within
   this function, and is valid until STORED returns.  */
void mq_platform_send (struct mq_platform *platform,
                       const struct mq_store_request *request);
/* Returns the polling interval for a list of HOSTS hosts: INTERVAL_MS, or more
   for a long list to limit the platform's load, up to a maximum that bounds
   how long a leaving host still gets new work.  */
uint32_t mq_platform_poll_interval_ms (uint32_t interval_ms, size_t hosts);
/* Starts polling the list of hosts.  LISTED is called after each successful
   read; the list is valid until it returns.  */
void mq_platform_watch_hosts (struct mq_platform *platform,
                              uint32_t interval_ms,
                              mq_platform_hosts_handler *listed, void *user);

/**
 * struct mq_platform_counters - numbers of requests and results
 * @writes: TXN, PUT and DROP requests
 * @reads: SCAN, GET and host list requests
 * @failures: results DOWN, and failed host list requests
 * @lost: results LOST
 * @malformed: malformed responses and malformed entries of the host list
 */
struct mq_platform_counters
{
  uint64_t writes, reads, failures, lost, malformed;
};
const struct mq_platform_counters *
mq_platform_counters (const struct mq_platform *platform);

#endif
