/* load_probe.h - reads the counters of a site's processes.

   Needs: ctl.h, load_result.h.  */

#ifndef MQ_LOAD_PROBE_H
#define MQ_LOAD_PROBE_H

#include "ctl/ctl.h"
#include "load_result.h"

/**
 * struct mq_load_site - the processes of a site
 * @entries: "IP:PORT" of the callers' HTTP of each entry host
 * @targets: "IP:PORT" of the operators' HTTP of each target host
 * @engines: "IP:PORT" of each stand-in engine
 * @services: "IP:PORT" of one worker of each stand-in service
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

/* Appends ADDRESS to LIST, a list of SITE.  ADDRESS is not copied.  */
void mq_load_site_add (struct mq_load_site *site, const char ***list,
                       size_t *count, const char *address);
/* Adds the hosts in the platform's list.  Returns false with MQ_ERR_STORE_DOWN
   in ERROR if it is unavailable.  */
bool mq_load_site_discover (struct mq_ctl *ctl, struct mq_load_site *site,
                            struct mq_error *error);
/* Sums the counters of all processes; UNREACHED counts failed requests.  */
void mq_load_probe (struct mq_ctl *ctl, const struct mq_load_site *site,
                    enum mq_load_workload workload,
                    struct mq_load_measures *measures, size_t *unreached);
/* Subtracts BEFORE from AFTER.  */
void mq_load_measures_subtract (struct mq_load_measures *after,
                                const struct mq_load_measures *before);

#endif
