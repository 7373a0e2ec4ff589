package fleetapi

// Headers of a request that a gateway without a reachable target hands over to another gateway, beside those of its caller.
const (
	// HeaderHandoverSends is the number of targets to which the request may still be sent.
	HeaderHandoverSends = "Hoist-Handover-Sends"
	// HeaderHandoverVersion is the version of the configuration of the sender. A gateway with an older one does not serve the
	// request.
	HeaderHandoverVersion = "Hoist-Handover-Version"
	// HeaderHandoverService is the service that the sender has selected.
	HeaderHandoverService = "Hoist-Handover-Service"
	// HeaderHandoverSoftware is the software version at which alone the request may run. It is left out if any may run it.
	HeaderHandoverSoftware = "Hoist-Handover-Software"
)

// Headers of the answer, which name the target that answered, beside HeaderHandoverService and HeaderHandoverSoftware. A
// gateway that reaches no target for the request names only the service, and one that reaches no target at all names nothing.
const (
	HeaderHandoverTarget = "Hoist-Handover-Target"
	// HeaderHandoverStart is the start time of the target, in Unix ms.
	HeaderHandoverStart = "Hoist-Handover-Start"
)
