package resource

import "time"

// ConditionType names one side of a resource's status.
type ConditionType string

// The types of conditions.
const (
	// Available is true if requests or tasks can be served.
	Available ConditionType = "Available"
	// Ejected is true if a backend server gets no work for its failures.
	Ejected ConditionType = "Ejected"
	// Leaving is true if a backend server gets no new work.
	Leaving ConditionType = "Leaving"
	// Serving is true if a backend server gets work.
	Serving ConditionType = "Serving"
)

// Condition is one side of a resource's status.
type Condition struct {
	Type    ConditionType `json:"type"`
	Status  bool          `json:"status"`
	Reason  string        `json:"reason"`
	Message string        `json:"message,omitempty"`
	// Since is when the condition last changed on the answering host.
	Since time.Time `json:"since"`
}

// Status is what one entry host sees of a resource.
type Status struct {
	Host string `json:"host"`
	// ObservedAt is when the host last heard of the newest configuration from
	// the table or a peer.
	ObservedAt time.Time `json:"observedAt"`
	// StaleMS is the time since ObservedAt, in milliseconds.
	StaleMS    int64       `json:"staleMs"`
	Conditions []Condition `json:"conditions"`
}
