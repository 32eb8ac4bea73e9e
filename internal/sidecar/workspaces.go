package sidecar

import (
	"github.com/pollencart/pollencart/internal/sidecar/config"
	"github.com/pollencart/pollencart/internal/workspace/survey"
)

// initSurvey creates the component that asks all nodes what workspaces used.
func (n *Sidecar) initSurvey() {
	n.survey = survey.New(survey.Options{
		Members: n.table, Peers: n.client, Window: config.Seconds(n.config.Bounds.QuotaWindowSeconds), Own: n.workspaceUse,
	})
}

// workspaceUse returns what this node has counted of workspaces, as a home of limits and as an entry.
func (n *Sidecar) workspaceUse() survey.Use {
	out := survey.Use{Counts: n.meter.Workspaces()}

	if n.quotas != nil {
		for _, u := range n.quotas.Uses() {
			out.Limits = append(out.Limits, survey.Limit{
				Workspace: u.Workspace, Rate: u.Rate, Burst: u.Burst, Version: u.Version, Share: u.Share, Counted: u.Granted,
			})
		}
	}

	return out
}
