/* router_version_record.h - the row of a service: the versions at which its
   resumable streams may be running.

   Used by router_version.c only.
   Needs: router_state.h.  */

#ifndef MQ_ROUTER_VERSION_RECORD_H
#define MQ_ROUTER_VERSION_RECORD_H

#include "router_state.h"

typedef void mq_version_recorded (bool stored, void *user);

/* As mq_fleet_sole_version; 0 while this host would not hear of others.  */
uint64_t mq_router_sole_version (const struct mq_router *router,
                                 const char *service, uint32_t memory_ms);
/* Whether the row of SERVICE can't be reached.  */
bool mq_version_row_down (const struct mq_router *router, const char *service);
struct mq_table_client_call *mq_version_row_read (struct mq_router *router,
                                                  const char *service,
                                                  mq_rows_done *done,
                                                  void *user);
/* Takes over what ROW of SERVICE, which names VERSION, tells of it.  */
void mq_version_row_learn (struct mq_router *router, const char *service,
                           uint64_t version, const struct mq_service_row *row);
/* Whether VERSION is known to be settled (streams.h).  */
bool mq_version_settled (const struct mq_router *router, const char *service,
                         uint64_t version);
/* Makes the row of SERVICE name VERSION; drops the others if VERSION has been
   the only one for MQ_FLEET_VERSION_MEMORY_MS.  DONE may be NULL.  */
void mq_version_record (struct mq_router *router, const char *service,
                        uint64_t version, mq_version_recorded *done,
                        void *user);

#endif
