/* router_site.h - routers with stand-ins for the platform's table and workers,
   in one event loop.

   Needs: rows_server.h, worker_server.h, router.h.  */

#ifndef ROUTER_SITE_H
#define ROUTER_SITE_H

#include "../platform/standins/rows_server.h"
#include "../platform/standins/worker_server.h"
#include "router/router.h"

#define EDGE_WORKERS 3
#define EDGE_ROUTERS 2
/* Routers that a test may start; odd ones use the second port of the table. */
#define EDGE_ROUTERS_MAX 40
#define EDGE_RESPONSE_BYTES (1U << 16)

/**
 * struct edge_site - routers, the table, and the workers of services "llm" and
 * "app"
 * @idle_ms: idle timeout of callers in the next configuration
 * @body_bytes: limit of a request's body in the next configuration
 * @extra_routes: number of additional routes in the next configuration
 * @without_health_check: services of the next configuration have none
 * @organisations: JSON list for the next configuration; NULL if none
 * @clean_after_ms: setting of the routers started next
 */
struct edge_site
{
  struct tevent_context *ev;
  struct rows_server *rows;
  struct worker_server *llm[EDGE_WORKERS];
  struct worker_server *app[EDGE_WORKERS];
  struct worker_plan llm_plan;
  struct worker_plan app_plan;
  struct mq_router_settings settings[EDGE_ROUTERS_MAX];
  struct mq_router *routers[EDGE_ROUTERS_MAX];
  const char *seeds[EDGE_ROUTERS_MAX];
  int config_version;
  uint32_t idle_ms;
  uint32_t body_bytes;
  uint32_t extra_routes;
  bool without_health_check;
  const char *organisations;
  uint32_t clean_after_ms;
};

/* A caller's connection and the responses received on it.  */
struct edge_call
{
  int fd;
  bool closed;
  char answer[EDGE_RESPONSE_BYTES];
};

/* Routes of host "h.example", all with two attempts: /call/ and /open/
   (public) are idempotent, /once/ is not, /turn/ streams are resumable, /kept/
   streams are retained. /turn/ and /kept/ lead to "llm", the others to
   "app".  */
struct edge_site *edge_create (void);
void edge_destroy (struct edge_site *site);
/* Starts router INDEX and waits until it is ready.  */
void edge_start (struct edge_site *site, int index);
/* Sets router OTHER as the seed of router INDEX, for its next start.  */
void edge_set_seed (struct edge_site *site, int index, int other);
/* Destroys router INDEX without a planned stop.  */
void edge_kill (struct edge_site *site, int index);
/* Returns the text of the next configuration, as written by
   edge_configure.  */
char *edge_config_text (struct edge_site *site, uint32_t timeout_ms,
                        const char *extra);
/* Writes the next configuration, with TIMEOUT_MS for each route and an
   additional route of prefix EXTRA unless NULL.  */
void edge_configure (struct edge_site *site, uint32_t timeout_ms,
                     const char *extra);
void edge_list_worker (struct edge_site *site,
                       const struct worker_server *worker, const char *service,
                       const char *state);
void edge_unlist_worker (struct edge_site *site,
                         const struct worker_server *worker);
/* Unlists workers 1 and 2 of both services.  */
void edge_keep_one_worker (struct edge_site *site);
/* Returns the last run of request ID at any worker; NULL if there is none.  */
const struct worker_run *edge_find_run (const struct edge_site *site,
                                        const char *id);
/* Number of runs of request ID at the workers of "llm".  */
int edge_run_count (const struct edge_site *site, const char *id);
/* Runs the event loop for MS milliseconds, of the stepped clock
   (stepped_clock.h) if the process uses it.  */
void edge_run_for (struct edge_site *site, uint32_t ms);

/* Connects to router INDEX and sends TEXT.  */
void edge_call (struct edge_site *site, struct edge_call *call, int index,
                const char *text);
/* Waits for COUNT complete responses or the end of the connection.  */
void edge_wait_responses (struct edge_site *site, struct edge_call *call,
                          int count);
void edge_close (struct edge_call *call);
/* Connects to router INDEX and sends TEXT, with responses of its own.  The
   kernel accepts the connection at once, the router when the loop runs.  */
struct edge_call *edge_open (struct edge_site *site, int index,
                             const char *text);
void edge_send (struct edge_call *call, const char *text);
/* Reads what has arrived; true if the router has closed the connection.  */
bool edge_is_closed (struct edge_call *call);
/* Whether the first response has STATUS.  */
bool edge_has_status (const struct edge_call *call, const char *status);
/* Has each router that runs list the hosts again, until all know each other.
 */
void edge_list_hosts (struct edge_site *site);
/* Number of workers that router INDEX has ejected.  */
int edge_ejected_count (const struct edge_site *site, int index);
/* Sends one request on a new connection; returns the status of the response, 0
   if there is none.  */
int edge_request (struct edge_site *site, struct edge_call *call, int index,
                  const char *text);
/* Value of counter NAME of router INDEX; -1 if it does not exist.  */
long edge_counter (struct edge_site *site, int index, const char *name);
/* Status of the readiness endpoint of router INDEX.  */
int edge_ready_status (struct edge_site *site, int index);

#define EDGE_WAIT(site, condition)                                            \
  do                                                                          \
    {                                                                         \
      int polls_ = 0;                                                         \
      while (!(condition))                                                    \
        {                                                                     \
          cr_assert_lt (polls_++, 4000, "timed out waiting for " #condition); \
          edge_run_for (site, 5);                                             \
        }                                                                     \
    }                                                                         \
  while (0)

#endif
