// Names of the keys that daemons share in the platform's store.
#pragma once

#define KEY_LIVE "catkin/live/" ///< NODE: the run of that node's process
#define KEY_RUN "catkin/run/" ///< BATCH: who runs it, and whether it ended
#define KEY_BATCH "catkin/batch/" ///< BATCH: as it was handed in
#define KEY_TEXTS "catkin/texts/" ///< BATCH: texts that are not whole yet
#define KEY_RECORD "catkin/record/" ///< BATCH/NUMBER: results
#define KEY_TALLY "catkin/tally/" ///< WINDOW/NODE: requests a team
#define KEY_SEALED "catkin/sealed/" ///< WINDOW: the figures to report
#define KEY_NEED "catkin/need/" ///< NODE.RUN: requests that it has to run
#define KEY_LEADER "catkin/leader" ///< who leads
#define KEY_EPOCH "catkin/epoch" ///< fencing number of the leader

enum {
	STORE_KEY = 200, ///< most bytes of a key that a store takes, with NUL
};
