/* platform.h - the platform's table, object store and host list over HTTP.

   The paths are those of docs/CONTRACTS.md.  Carries struct
   mq_store_request for the core and reads the list of hosts.
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
/* The result comes through STORED, never from within this call, and lives
   until STORED returns.  REQUEST is copied.  */
void mq_platform_send (struct mq_platform *platform,
                       const struct mq_store_request *request);
/* Reads the list of hosts every INTERVAL_MS and reports each success; the
   list lives until LISTED returns.  */
/* Pause until the list is read again when it had HOSTS hosts: INTERVAL_MS,
   and longer where the list is long, since every process reads all of it;
   but no longer than a leaving host may get new work.  */
uint32_t mq_platform_poll_interval_ms (uint32_t interval_ms, size_t hosts);
void mq_platform_watch_hosts (struct mq_platform *platform,
                              uint32_t interval_ms,
                              mq_platform_hosts_handler *listed, void *user);

/**
 * struct mq_platform_counters - what was asked and how it ended
 * @writes: TXN, PUT and DROP sent
 * @reads: SCAN, GET and lists of hosts sent
 * @failures: ended as DOWN
 * @lost: ended as LOST
 * @malformed: answers, and hosts of the list, that could not be read
 */
struct mq_platform_counters
{
  uint64_t writes, reads, failures, lost, malformed;
};
const struct mq_platform_counters *
mq_platform_counters (const struct mq_platform *platform);

#endif
