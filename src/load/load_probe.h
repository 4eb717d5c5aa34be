/* load_probe.h - the counters of a site, read from its processes.

   Needs: ctl.h, load_result.h.  */

#ifndef MQ_LOAD_PROBE_H
#define MQ_LOAD_PROBE_H

#include "ctl/ctl.h"
#include "load_result.h"

/**
 * struct mq_load_site - the processes of a site
 * @entries: "IP:PORT" of callers' HTTP of each entry host
 * @entry_count: how many
 * @targets: "IP:PORT" of operators' HTTP beside each target
 * @target_count: how many
 * @engines: "IP:PORT" of each stand-in engine
 * @engine_count: how many
 * @services: "IP:PORT" of one worker of each stand-in service
 * @service_count: how many
 */
struct mq_load_site
{
  const char **entries;
  size_t entry_count;
  const char **targets;
  size_t target_count;
  const char **engines;
  size_t engine_count;
  const char **services;
  size_t service_count;
};

/* Appends ADDRESS, which is borrowed, to a list of SITE, a talloc object. */
void mq_load_site_add (struct mq_load_site *site, const char ***list,
                       size_t *count, const char *address);
/* Adds the hosts of the platform's list; false with an error.  */
bool mq_load_site_discover (struct mq_ctl *ctl, struct mq_load_site *site,
                            struct mq_error *error);
/* Sums the counters of all processes.  A process that does not answer is
   left out and counted in UNREACHED.  */
void mq_load_probe (struct mq_ctl *ctl, const struct mq_load_site *site,
                    enum mq_load_workload workload,
                    struct mq_load_measures *measures, size_t *unreached);
/* What AFTER has more than BEFORE.  */
void mq_load_measures_subtract (struct mq_load_measures *after,
                                const struct mq_load_measures *before);

#endif
