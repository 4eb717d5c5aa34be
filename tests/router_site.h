/* router_site.h - a router between stand-ins of the users' platform, in one
   event loop.

   Needs: rows_server.h, worker_server.h, router.h.  */

#ifndef ROUTER_SITE_H
#define ROUTER_SITE_H

#include "../platform/standins/rows_server.h"
#include "../platform/standins/worker_server.h"
#include "router/router.h"

#define EDGE_WORKERS 3
#define EDGE_ROUTERS 2
#define EDGE_RESPONSE_BYTES (1U << 16)

/**
 * struct edge_site - routers, the table, and workers of the services "llm" (0
 * to 2) and "app" (3 to 5)
 * @idle_ms: how long a caller's connection may rest, by the next configuration
 * @extra_routes: that many more routes has the next configuration
 * @organisations: of the next configuration, a list in JSON; NULL: none
 */
struct edge_site
{
  struct tevent_context *ev;
  struct rows_server *rows;
  struct worker_server *llm[EDGE_WORKERS];
  struct worker_server *app[EDGE_WORKERS];
  struct worker_plan llm_plan;
  struct worker_plan app_plan;
  struct mq_router_settings settings[EDGE_ROUTERS];
  struct mq_router *routers[EDGE_ROUTERS];
  const char *seeds[EDGE_ROUTERS];
  int config_version;
  uint32_t idle_ms;
  uint32_t extra_routes;
  const char *organisations;
  uint32_t clean_after_ms;
};

/* A caller's connection.  */
struct edge_call
{
  int fd;
  bool closed;
  char answer[EDGE_RESPONSE_BYTES];
};

/* Routes of host "h.example": /call/ idempotent, /once/ may run once, /turn/
   streams that may be resumed, /kept/ streams that are retained, /open/
   idempotent and public, all with two attempts; /turn/ and /kept/ lead to
   "llm", the others to "app".  */
struct edge_site *edge_create (void);
void edge_destroy (struct edge_site *site);
/* Starts router INDEX and waits until it is ready.  */
void edge_start (struct edge_site *site, int index);
/* Router INDEX will start with router OTHER as its seed.  */
void edge_set_seed (struct edge_site *site, int index, int other);
/* Ends router INDEX at once, as if its host had lost power.  */
void edge_kill (struct edge_site *site, int index);
/* Text of the next configuration, as edge_configure writes it.  */
char *edge_config_text (struct edge_site *site, uint32_t timeout_ms,
                        const char *extra);
/* Writes the configuration once more, with TIMEOUT_MS for each route, and
   with the route EXTRA (a prefix) when not NULL.  */
void edge_configure (struct edge_site *site, uint32_t timeout_ms,
                     const char *extra);
void edge_list_worker (struct edge_site *site,
                       const struct worker_server *worker, const char *service,
                       const char *state);
void edge_unlist_worker (struct edge_site *site,
                         const struct worker_server *worker);
/* Workers 1 and 2 of SERVICE are not listed any more.  */
void edge_keep_one_worker (struct edge_site *site);
/* The last run of the request ID at any worker, NULL: none ran it.  */
const struct worker_run *edge_find_run (const struct edge_site *site,
                                        const char *id);
/* How often the workers of "llm" ran the request ID.  */
int edge_run_count (const struct edge_site *site, const char *id);
/* Runs the event loop for MS milliseconds.  */
void edge_run_for (struct edge_site *site, uint32_t ms);

/* Connects to router INDEX and sends TEXT.  */
void edge_call (struct edge_site *site, struct edge_call *call, int index,
                const char *text);
/* Waits for COUNT whole answers or the end of the connection.  */
void edge_wait_responses (struct edge_site *site, struct edge_call *call,
                          int count);
void edge_close (struct edge_call *call);
/* One request on a connection of its own: its answer's status, 0: none.  */
int edge_request (struct edge_site *site, struct edge_call *call, int index,
                  const char *text);
/* Counter NAME of router INDEX, -1: there is none.  */
long edge_counter (struct edge_site *site, int index, const char *name);
/* Status of the readiness question to router INDEX, 0: no answer.  */
int edge_ready_status (struct edge_site *site, int index);

#define EDGE_WAIT(site, condition)                                            \
  do                                                                          \
    {                                                                         \
      int turns_ = 0;                                                         \
      while (!(condition))                                                    \
        {                                                                     \
          cr_assert_lt (turns_++, 4000, "waited in vain for " #condition);    \
          edge_run_for (site, 5);                                             \
        }                                                                     \
    }                                                                         \
  while (0)

#endif
