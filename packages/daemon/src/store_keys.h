// Keys that the daemons share in the platform's store. The comments say what follows
// a prefix: the value.
#pragma once

#define KEY_LIVE "catkin/live/" ///< NODE: incarnation of that node's process
#define KEY_RUN "catkin/run/" ///< BATCH: owner, and whether it ended
#define KEY_BATCH "catkin/batch/" ///< BATCH: as submitted
#define KEY_TEXTS "catkin/texts/" ///< BATCH: incomplete texts
#define KEY_RECORD "catkin/record/" ///< BATCH/NUMBER: results
#define KEY_TALLY "catkin/tally/" ///< WINDOW/NODE: requests per team
#define KEY_SEALED "catkin/sealed/" ///< WINDOW: usage to report
#define KEY_NEED "catkin/need/" ///< NODE.INCARNATION: requests it has to run
#define KEY_TRIAL "catkin/trial/" ///< IDENTITY/NUMBER: node that may try it
#define KEY_TRIAL_NOW "catkin/trial-now" ///< node that sends a barred request
#define KEY_LEADER "catkin/leader" ///< current leader
#define KEY_EPOCH "catkin/epoch" ///< the leader's fencing token

enum {
	STORE_KEY_SIZE = 200, ///< maximum bytes of a key, with NUL
};
